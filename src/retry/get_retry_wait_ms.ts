/**
 * How long to wait before a peer is asked again.
 *
 * @module
 */

/** Options of {@link getRetryWaitMs}. */
export interface GetRetryWaitOptions {
  /** Longest wait, in ms, after the first failure. */
  readonly firstMs: number;
  /** Longest wait, in ms, after any number of failures. */
  readonly maxMs: number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/**
 * Gets the wait before the next try: exponential back-off with full jitter, so that
 * those that failed together don't come back together.
 *
 * @param failures - Failures in a row, at least one.
 * @param options - The bounds and the random numbers.
 * @returns The wait, in ms.
 * @throws Nothing.
 * @example
 * const waitMs = getRetryWaitMs(3, { firstMs: 100, maxMs: 2_000, random });
 */
export function getRetryWaitMs(
  failures: number,
  options: GetRetryWaitOptions,
): number {
  const boundMs = options.firstMs * 2 ** (failures - 1);
  return Math.min(options.maxMs, boundMs) * options.random();
}
