/**
 * Duration of the hold of a convicted request.
 *
 * @module
 */

import { FIRST_HOLD_MS, MAX_HOLD_MS } from "./constants.ts";

/**
 * Gets the duration of the hold after a conviction, which doubles with each one.
 * After the hold the request may run on trial again.
 *
 * @param convictions - Number of convictions.
 * @returns The duration in ms; 0 without a conviction.
 * @throws Nothing.
 * @example
 * getHoldMs(1); // 300000
 */
export function getHoldMs(convictions: number): number {
  if (convictions === 0) return 0;
  return Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** (convictions - 1));
}
