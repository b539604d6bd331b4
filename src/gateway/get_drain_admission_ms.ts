/**
 * Computes how long a gateway that drains still admits new requests.
 *
 * @module
 */

/** Share of the grace period that admits requests; most streams end within the rest. */
const ADMISSION_SHARE = 0.4;

/**
 * Upper bound, in ms, whatever the grace period. Some callers use an address for three
 * times its TTL, and a stream may last as long as the whole grace period, so only few
 * requests may be admitted late. A stream that is cut off at the end is tolerated only
 * if its request arrived within 3 s.
 */
const MAX_ADMISSION_MS = 2_800;

/**
 * Gets the time for which a gateway that drains still admits new requests.
 *
 * @param graceMs - Ms from the signal to the end of the process.
 * @returns Ms after the signal.
 * @throws Nothing.
 * @example
 * getDrainAdmissionMs(8_000);
 */
export function getDrainAdmissionMs(graceMs: number): number {
  return Math.min(MAX_ADMISSION_MS, graceMs * ADMISSION_SHARE);
}
