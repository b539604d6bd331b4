/**
 * Retry-after time for callers whose request no upstream could accept.
 *
 * @module
 */

/** Shortest retry-after time, in seconds. */
const MIN_RETRY_AFTER_S = 1;

const MS_PER_S = 1_000;

/**
 * Gets the retry-after time to send to a caller.
 *
 * @param backOffLeftMs - Time, in ms, until back-offs end; 0 if there are none.
 * @returns Whole seconds.
 * @throws Nothing.
 * @example
 * getRetryAfterS(2_400); // 3
 */
export function getRetryAfterS(backOffLeftMs: number): number {
  return Math.max(MIN_RETRY_AFTER_S, Math.ceil(backOffLeftMs / MS_PER_S));
}
