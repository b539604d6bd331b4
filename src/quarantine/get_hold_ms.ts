/**
 * Duration of the hold of a convicted request.
 *
 * @module
 */

import {
  FIRST_HOLD_MS,
  FIRST_PART_HOLD_MS,
  MAX_HOLD_MS,
  MAX_PART_HOLD_MS,
  PART_HOLD_FACTOR,
} from "./constants.ts";

/**
 * Gets the duration of the hold after a conviction, which grows with each one: doubled
 * for a request, and faster for a part of prompts. After the hold the request may run
 * on trial again.
 *
 * @param convictions - Number of convictions.
 * @param options - Whether it is the hold of a part; it isn't by default.
 * @returns The duration in ms; 0 without a conviction.
 * @throws Nothing.
 * @example
 * getHoldMs(1); // 300000
 */
export function getHoldMs(
  convictions: number,
  options: { readonly isPart?: boolean } = {},
): number {
  if (convictions === 0) return 0;
  if (options.isPart) {
    const holdMs = FIRST_PART_HOLD_MS * PART_HOLD_FACTOR ** (convictions - 1);
    return Math.min(MAX_PART_HOLD_MS, holdMs);
  }
  return Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** (convictions - 1));
}
