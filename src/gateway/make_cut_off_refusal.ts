/**
 * The refusal of a request whose service can't be reached.
 *
 * @module
 */

import type { Refusal } from "./protocol.ts";

/**
 * Least ms after which a caller may come back: another gateway may serve it at once,
 * and the partition of this one is checked several times within it.
 */
const LEAST_RETRY_AFTER_MS = 500;

/** Largest addition, in ms, which spreads callers that were refused together. */
const SPREAD_MS = 500;

/**
 * Makes the refusal of a request that neither this gateway nor a peer can send to an
 * upstream. It has not run.
 *
 * @param random - A number in [0, 1).
 * @returns The refusal.
 * @throws Nothing.
 * @example
 * makeCutOffRefusal(0.5).retryAfterMs; // 750
 */
export function makeCutOffRefusal(random: number): Refusal {
  const retryAfterMs = Math.round(LEAST_RETRY_AFTER_MS + random * SPREAD_MS);
  return { status: 503, reason: "cut_off", retryAfterMs };
}
