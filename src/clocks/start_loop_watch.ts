/**
 * Notices when the event loop of this process stood still.
 *
 * @module
 */

/** A time for which nothing else could run. */
export interface LoopDelay {
  /** Ms beyond the interval after which the watch was due. */
  readonly delayMs: number;
}

/** Whom to tell, and the clock to read. */
export interface StartLoopWatchOptions {
  /** Called after each delay that is long enough to be felt. */
  readonly onDelay: (delay: LoopDelay) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Shortest delay, in ms, that is told. */
const LOOP_DELAY_MS = 200;

/** Ms between two looks. */
const INTERVAL_MS = 100;

/**
 * Starts the watch. A suspended process counts as delayed too.
 *
 * @param options - Whom to tell.
 * @returns What ends the watch.
 * @throws Nothing.
 * @example
 * using watch = startLoopWatch({ onDelay, now: () => performance.now() });
 */
export function startLoopWatch(options: StartLoopWatchOptions): Disposable {
  const { onDelay, now } = options;
  let dueMs = now() + INTERVAL_MS;

  function look(): void {
    const delayMs = Math.round(now() - dueMs);
    dueMs = now() + INTERVAL_MS;
    if (delayMs >= LOOP_DELAY_MS) onDelay({ delayMs });
  }

  const timer = setInterval(look, INTERVAL_MS);
  return { [Symbol.dispose]: () => clearInterval(timer) };
}
