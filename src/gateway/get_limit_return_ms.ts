/**
 * When a caller may come again that found all upstreams at their rate limits.
 *
 * @module
 */

import type { ServingContext } from "./types.ts";

/**
 * Takes a turn for a caller, not before an upstream may have a send left.
 *
 * @param context - The turns.
 * @param options - The service, and Ms until an upstream may have a send left.
 * @returns Ms to tell the caller.
 * @throws Nothing.
 * @example
 * const retryAfterMs = getLimitReturnMs(context, { service, leftMs });
 */
export function getLimitReturnMs(
  { limitReturns }: Pick<ServingContext, "limitReturns">,
  options: { readonly service: string; readonly leftMs: number },
): number {
  const { service, leftMs } = options;
  return Math.ceil(Math.max(leftMs, limitReturns.getWaitMs(service)));
}
