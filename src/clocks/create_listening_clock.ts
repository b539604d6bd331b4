/**
 * A clock for the silence of others: it counts the time for which this process could
 * hear them.
 *
 * What arrives while the event loop stands still, or the process is stopped, waits
 * unread, so silence by the steady clock then says nothing of the sender (cf. local
 * health in Lifeguard, Dadgar et al., 2018). Leases and deadlines don't go by this
 * clock: they end whether or not their holder runs.
 *
 * @module
 */

/** A clock that counts the time for which others could be heard. */
export interface ListeningClock {
  /** Ms for which others could be heard; it never goes back. */
  now(): number;
  /** Notes that the event loop runs. */
  look(options?: LookOptions): void;
}

/** Options of {@link ListeningClock.look}. */
export interface LookOptions {
  /** Whether what comes is taken from now on; it is by default. */
  readonly isListening?: boolean;
}

/** Options of {@link createListeningClock}. */
export interface CreateListeningClockOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Ms between two looks; more than one and a half times as much don't count. */
  readonly lookIntervalMs: number;
  /** Whether it counts before the first look; it does by default. */
  readonly isListening?: boolean;
}

/** Intervals between looks that count as one at most: timers are a little late. */
const MAX_INTERVALS = 1.5;

/**
 * Makes the clock, at 0.
 *
 * @param options - The steady clock, and how often it is looked at.
 * @returns The clock.
 * @throws Nothing.
 * @example
 * const listening = createListeningClock({ now, lookIntervalMs: 250 });
 * setInterval(() => listening.look(), 250);
 */
export function createListeningClock(
  options: CreateListeningClockOptions,
): ListeningClock {
  const { now, lookIntervalMs } = options;
  const maxStepMs = lookIntervalMs * MAX_INTERVALS;
  let { isListening = true } = options;
  let countedMs = 0;
  let lookedMs = now();

  function read(): number {
    if (!isListening) return countedMs;
    return countedMs + Math.min(now() - lookedMs, maxStepMs);
  }

  return {
    now: read,
    look({ isListening: listens = true } = {}) {
      countedMs = read();
      lookedMs = now();
      isListening = listens;
    },
  };
}
