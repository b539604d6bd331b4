/**
 * Until when a gateway that stops lets new requests in.
 *
 * @module
 */

/** Share of the grace for new requests: the rest is as long as most streams. */
const LAST_CALL_SHARE = 0.4;

/**
 * Ms after which none is let in whatever the grace: some callers use an address
 * for three times as long as they were told, and a stream may take as long as
 * the whole grace, so the last ones let in have to be few. Users forgive that a
 * stream is cut off at the end only if its request came within 3 s.
 */
const MAX_LAST_CALL_MS = 2_800;

/**
 * Gets the time for which a gateway that stops still lets new requests in.
 *
 * @param graceMs - Ms from the signal to the end of the process.
 * @returns Ms after the signal.
 * @throws Nothing.
 * @example
 * getLastCallMs(8_000);
 */
export function getLastCallMs(graceMs: number): number {
  return Math.min(MAX_LAST_CALL_MS, graceMs * LAST_CALL_SHARE);
}
