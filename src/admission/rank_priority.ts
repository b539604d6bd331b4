/**
 * Ranks a priority among those of a service.
 *
 * @module
 */

import { comparePriorities } from "./compare_priorities.ts";
import type { CallPriority } from "./get_call_priority.ts";

/**
 * Gets the rank of a priority: the number of distinct priorities that are more urgent.
 *
 * @param priority - The priority of a request.
 * @param priorities - The priorities that requests of its service can have.
 * @returns The rank; 0 is the most urgent.
 * @throws Nothing.
 * @example
 * const rank = rankPriority([1, 0], table.listPriorities(service));
 */
export function rankPriority(
  priority: CallPriority,
  priorities: readonly CallPriority[],
): number {
  const moreUrgent = priorities.filter((one) =>
    comparePriorities(one, priority) < 0
  );
  return new Set(moreUrgent.map((one) => one.join())).size;
}
