/**
 * Orders priorities of requests.
 *
 * @module
 */

import type { CallPriority } from "./get_call_priority.ts";

/**
 * Compares two priorities, for sorting the most urgent first.
 *
 * @param one - A priority.
 * @param other - Another priority.
 * @returns A negative number if the first is more urgent, a positive one if it is less
 * urgent, 0 if they are equal.
 * @throws Nothing.
 * @example
 * priorities.sort(comparePriorities);
 */
export function comparePriorities(
  one: CallPriority,
  other: CallPriority,
): number {
  return one[0] - other[0] || one[1] - other[1];
}
