/**
 * When rate limits make requests possible again.
 *
 * @module
 */

import { listBeginners } from "./create_run_permit.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Gets the time after which an upstream may have a send left where all that could
 * begin a call are at their rate limits.
 *
 * @param call - The call.
 * @param context - The upstreams and their limits.
 * @returns Ms; undefined where it isn't limits that are in the way.
 * @throws Nothing.
 * @example
 * const waitMs = getLimitWaitMs(call, context);
 */
export function getLimitWaitMs(
  call: Call,
  context: Pick<ServingContext, "engines" | "getTable" | "rateLimits">,
): number | undefined {
  const waitsMs = listBeginners(call, context)
    .map(({ record }) => context.rateLimits.getWaitMs(record.engineId));
  if (waitsMs.length === 0 || waitsMs.includes(0)) return undefined;
  return Math.min(...waitsMs);
}
