/**
 * Ranks a call among the priorities of its service.
 *
 * @module
 */

import { getCallPriority, rankPriority } from "../admission/index.ts";
import type { RouteTable } from "../routes/index.ts";
import type { Call } from "./types.ts";

/**
 * Gets the rank of a call. It is decided once, when the call begins: a later
 * configuration with other priorities doesn't change it.
 *
 * @param call - The route, the client account and the service of the call.
 * @param table - The configuration; undefined if there is none.
 * @returns The rank, and the number of ranks of the service.
 * @throws Nothing.
 * @example
 * const { rank, rankCount } = getCallRank(call, table);
 */
export function getCallRank(
  call: Pick<Call, "route" | "account" | "service">,
  table: Pick<RouteTable, "listPriorities"> | undefined,
): Pick<Call, "rank" | "rankCount"> {
  const priorities = table?.listPriorities(call.service) ?? [];
  const rankCount = priorities.length;
  if (rankCount < 2) return { rank: 0, rankCount };
  return { rank: rankPriority(getCallPriority(call), priorities), rankCount };
}
