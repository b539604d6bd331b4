/**
 * Detects that the event loop of this process was blocked.
 *
 * @module
 */

/** A time for which the event loop was blocked. */
export interface EventLoopDelay {
  /** Ms by which the monitor's timer fired late. */
  readonly delayMs: number;
}

/** Options of {@link startEventLoopMonitor}. */
export interface StartEventLoopMonitorOptions {
  /** Called after each delay that reaches the threshold. */
  readonly onDelay: (delay: EventLoopDelay) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Shortest delay that is reported. */
const MIN_REPORTED_DELAY_MS = 200;

/** Interval of the timer. */
const CHECK_INTERVAL_MS = 100;

/**
 * Starts the monitor. A suspension of the process is reported as a delay too.
 *
 * @param options - The callback and the clock.
 * @returns A disposable that stops the monitor.
 * @throws Nothing.
 * @example
 * using monitor = startEventLoopMonitor({ onDelay, now: () => performance.now() });
 */
export function startEventLoopMonitor(
  options: StartEventLoopMonitorOptions,
): Disposable {
  const { onDelay, now } = options;
  let dueMs = now() + CHECK_INTERVAL_MS;

  function check(): void {
    const delayMs = Math.round(now() - dueMs);
    dueMs = now() + CHECK_INTERVAL_MS;
    if (delayMs >= MIN_REPORTED_DELAY_MS) onDelay({ delayMs });
  }

  const timer = setInterval(check, CHECK_INTERVAL_MS);
  return { [Symbol.dispose]: () => clearInterval(timer) };
}
