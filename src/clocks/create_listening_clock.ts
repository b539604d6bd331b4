/**
 * A clock for time-outs of other processes: it counts only the time for which this
 * process could receive messages.
 *
 * Messages that arrive while the event loop is blocked or the process is stopped wait
 * unread, so a silence measured by the steady clock says nothing about the sender (cf.
 * local health in Lifeguard, Dadgar et al., 2018). Leases and deadlines don't use this
 * clock: they expire whether or not their holder runs.
 *
 * @module
 */

/** A clock that counts the time for which messages could be received. */
export interface ListeningClock {
  /** Ms for which messages could be received; it never goes back. */
  now(): number;
  /** Records that the event loop is running. */
  tick(options?: TickOptions): void;
}

/** Options of {@link ListeningClock.tick}. */
export interface TickOptions {
  /** Whether messages are processed from now on; true by default. */
  readonly isListening?: boolean;
}

/** Options of {@link createListeningClock}. */
export interface CreateListeningClockOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Interval between calls of `look`; a gap counts for at most 1.5 intervals. */
  readonly tickIntervalMs: number;
  /** Whether it counts before the first call of `look`; true by default. */
  readonly isListening?: boolean;
}

/** Maximum intervals counted per call; above 1 because timers fire a bit late. */
const MAX_COUNTED_INTERVALS = 1.5;

/**
 * Creates the clock, at 0.
 *
 * @param options - The steady clock, and the interval between calls of `look`.
 * @returns The clock.
 * @throws Nothing.
 * @example
 * const listening = createListeningClock({ now, tickIntervalMs: 250 });
 * setInterval(() => listening.look(), 250);
 */
export function createListeningClock(
  options: CreateListeningClockOptions,
): ListeningClock {
  const { now, tickIntervalMs } = options;
  const maxStepMs = tickIntervalMs * MAX_COUNTED_INTERVALS;
  let { isListening = true } = options;
  let countedMs = 0;
  let lastLookMs = now();

  function read(): number {
    if (!isListening) return countedMs;
    return countedMs + Math.min(now() - lastLookMs, maxStepMs);
  }

  return {
    now: read,
    tick({ isListening: nextIsListening = true } = {}) {
      countedMs = read();
      lastLookMs = now();
      isListening = nextIsListening;
    },
  };
}
