/**
 * Spreads the retries of callers that wait for the same time.
 *
 * @module
 */

/** Largest share of a wait by which it is randomly extended. */
const JITTER_SHARE = 0.2;

/** Shortest spread, in ms: a few times as long as a call takes to be answered. */
const MIN_JITTER_MS = 200;

/**
 * Extends a wait at random and never shortens it: a caller that retried earlier would
 * be refused again.
 *
 * @param waitMs - Ms until a retry can succeed.
 * @param random - A number in [0, 1).
 * @returns The wait of one caller, in whole ms.
 * @throws Nothing.
 * @example
 * const retryAfterMs = jitterRetryAfterMs(3_000, Math.random()); // 3000 to 3600
 */
export function jitterRetryAfterMs(waitMs: number, random: number): number {
  const jitterMs = Math.max(MIN_JITTER_MS, JITTER_SHARE * waitMs);
  return Math.ceil(waitMs + jitterMs * random);
}
