/**
 * Computes when rate limits allow a request to be sent again.
 *
 * @module
 */

import { listFirstUpstreams } from "./list_first_upstreams.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Gets the time after which a send may be available if all upstreams at which a call
 * could begin are at their rate limits.
 *
 * @param call - The call.
 * @param context - The upstreams and their limits.
 * @returns Ms; undefined if the call isn't blocked by rate limits.
 * @throws Nothing.
 * @example
 * const waitMs = getLimitWaitMs(call, context);
 */
export function getLimitWaitMs(
  call: Call,
  context: Pick<ServingContext, "engines" | "getTable" | "rateLimits">,
): number | undefined {
  const waitsMs = listFirstUpstreams(call, context)
    .map(({ record }) => context.rateLimits.getWaitMs(record.engineId));
  if (waitsMs.length === 0 || waitsMs.includes(0)) return undefined;
  return Math.min(...waitsMs);
}
