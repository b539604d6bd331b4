/**
 * A clock that counts the time for which the machine was suspended.
 *
 * The steady clock of the runtime stands still meanwhile, so whatever counts by it
 * believes in a lease for as long again. The time of day goes on. The runtime
 * offers no third clock that is fine enough: its uptime is read from a file, in
 * steps of 10 ms, at each call. So the two are read side by side. Where the time of
 * day gains on the steady clock, the machine was suspended or the time of day was
 * set forward; either way it counts as elapsed, which ends a lease too soon at
 * worst. Where it falls behind, it was set back: that counts as nothing.
 *
 * @module
 */

/** The clocks to read; both are passed in, so that tests suspend them. */
export interface CreateElapsedClockOptions {
  /** Monotonic time, in ms; it may stand still while the machine is suspended. */
  readonly steadyNow: () => number;
  /** Time of day, in Unix ms; it may be set. */
  readonly dayNow: () => number;
}

/** A clock that counts suspensions. */
export interface ElapsedClock {
  /** Monotonic time, in ms, never less than has really elapsed. */
  now(): number;
  /**
   * Steady time, in ms, of the last waking that was noticed; -Infinity without
   * any. What was confirmed before it has to be confirmed anew.
   */
  getWokeMs(): number;
}

/**
 * Ms by which the time of day has to gain at least: it is read in whole ms, and the
 * two are not read at the same instant.
 */
const LEAST_GAIN_MS = 20;

/** Ms between two readings of the steady clock between which no reading counts. */
const MAX_READING_MS = 2;

/**
 * Makes the clock.
 *
 * @param options - The clocks to read.
 * @returns The clock; it begins with the steady clock's time.
 * @throws Nothing.
 * @example
 * const clock = createElapsedClock({ steadyNow, dayNow: Date.now });
 */
export function createElapsedClock(
  options: CreateElapsedClockOptions,
): ElapsedClock {
  const { steadyNow, dayNow } = options;
  let steadyMs = steadyNow();
  let dayMs = dayNow();
  let missedMs = 0;
  let wokeMs = -Infinity;

  function read(): number {
    const beforeMs = steadyNow();
    const nextDayMs = dayNow();
    const nextSteadyMs = steadyNow();
    // The process was held up in between: the next reading tells.
    if (nextSteadyMs - beforeMs > MAX_READING_MS) return nextSteadyMs;
    const gainMs = (nextDayMs - dayMs) - (nextSteadyMs - steadyMs);
    // A small gain is kept until it is known for what it is.
    if (Math.abs(gainMs) < LEAST_GAIN_MS) return nextSteadyMs;
    if (gainMs > 0) {
      missedMs += gainMs;
      wokeMs = nextSteadyMs;
    }
    steadyMs = nextSteadyMs;
    dayMs = nextDayMs;
    return nextSteadyMs;
  }

  return {
    now: () => read() + missedMs,
    getWokeMs() {
      read();
      return wokeMs;
    },
  };
}
