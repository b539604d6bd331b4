/**
 * For how long a convicted request is held back.
 *
 * @module
 */

import { FIRST_HOLD_MS, MAX_HOLD_MS } from "./constants.ts";

/**
 * Gets for how long a request is held back after a conviction: twice as long
 * after each one. Afterwards it may prove itself on trial.
 *
 * @param convictions - How often it was convicted.
 * @returns Ms; 0 without a conviction.
 * @throws Nothing.
 * @example
 * getHoldMs(1); // 300000
 */
export function getHoldMs(convictions: number): number {
  if (convictions === 0) return 0;
  return Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** (convictions - 1));
}
