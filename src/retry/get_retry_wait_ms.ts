/**
 * Retry delay with exponential back-off.
 *
 * @module
 */

/** Options of {@link getRetryWaitMs}. */
export interface GetRetryWaitOptions {
  /** Maximum delay, in ms, after the first failure. */
  readonly baseMs: number;
  /** Maximum delay, in ms, after any number of failures. */
  readonly maxMs: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Computes the delay before the next attempt: exponential back-off with full
 * jitter, so that callers that failed at the same time do not retry at the same
 * time.
 *
 * @param failures - Consecutive failures, at least one.
 * @param options - The limits and the source of random numbers.
 * @returns The delay, in ms.
 * @throws Nothing.
 * @example
 * const waitMs = getRetryWaitMs(3, { baseMs: 100, maxMs: 2_000, random });
 */
export function getRetryWaitMs(
  failures: number,
  options: GetRetryWaitOptions,
): number {
  const boundMs = options.baseMs * 2 ** (failures - 1);
  return Math.min(options.maxMs, boundMs) * options.random();
}
