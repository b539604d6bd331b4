/**
 * When callers may come again that no upstream could take.
 *
 * @module
 */

/** Seconds where nothing better is known. */
const LEAST_S = 1;

const MS_PER_S = 1_000;

/**
 * Gets the time to tell a caller.
 *
 * @param backOffLeftMs - Ms until back-offs end; 0 where no back-off is in the way.
 * @returns Whole seconds.
 * @throws Nothing.
 * @example
 * getRetryAfterS(2_400); // 3
 */
export function getRetryAfterS(backOffLeftMs: number): number {
  return Math.max(LEAST_S, Math.ceil(backOffLeftMs / MS_PER_S));
}
