/**
 * A monotonic clock that includes the time for which the machine was suspended.
 *
 * The runtime's steady clock stops during a suspension, so a lease measured by it
 * would outlive its real duration. The wall clock continues. A third clock is not
 * precise enough: the runtime reads its uptime from a file at each call, in steps of
 * 10 ms. So both clocks are compared. If the wall clock gains on the steady clock,
 * the machine was suspended or the wall clock was set forward; both count as elapsed
 * time, which at worst ends a lease early. If it falls behind, it was set back, which
 * is ignored.
 *
 * @module
 */

/** The clocks to read, passed in so that tests can simulate a suspension. */
export interface CreateElapsedClockOptions {
  /** Monotonic time, in ms; it may stop while the machine is suspended. */
  readonly steadyNow: () => number;
  /** Wall clock time, in Unix ms; it may be set. */
  readonly dayNow: () => number;
}

/** A clock that includes suspensions. */
export interface ElapsedClock {
  /** Monotonic time, in ms; it never advances by less than the real time. */
  now(): number;
  /**
   * Steady time, in ms, at which the last suspension was detected; -Infinity if there
   * was none. Anything confirmed before it must be confirmed again.
   */
  getLastWakeMs(): number;
}

/**
 * Smallest gain of the wall clock that counts as a suspension: it is read in whole ms,
 * and the two clocks are not read at the same instant.
 */
const MIN_GAIN_MS = 20;

/** Maximum time for reading both clocks; slower readings are not compared. */
const MAX_READ_DURATION_MS = 2;

/**
 * Creates the clock.
 *
 * @param options - The clocks to read.
 * @returns The clock; it starts at the steady clock's time.
 * @throws Nothing.
 * @example
 * const clock = createElapsedClock({ steadyNow, dayNow: Date.now });
 */
export function createElapsedClock(
  options: CreateElapsedClockOptions,
): ElapsedClock {
  const { steadyNow, dayNow } = options;
  let referenceSteadyMs = steadyNow();
  let referenceDayMs = dayNow();
  let suspendedMs = 0;
  let lastWakeMs = -Infinity;

  function read(): number {
    const beforeMs = steadyNow();
    const nextDayMs = dayNow();
    const nextSteadyMs = steadyNow();
    // The process was paused between the readings: compare at the next call.
    if (nextSteadyMs - beforeMs > MAX_READ_DURATION_MS) return nextSteadyMs;
    const gainMs = (nextDayMs - referenceDayMs) -
      (nextSteadyMs - referenceSteadyMs);
    // The reference point stays, so that small gains add up until they count.
    if (Math.abs(gainMs) < MIN_GAIN_MS) return nextSteadyMs;
    if (gainMs > 0) {
      suspendedMs += gainMs;
      lastWakeMs = nextSteadyMs;
    }
    referenceSteadyMs = nextSteadyMs;
    referenceDayMs = nextDayMs;
    return nextSteadyMs;
  }

  return {
    now: () => read() + suspendedMs,
    getLastWakeMs() {
      read();
      return lastWakeMs;
    },
  };
}
