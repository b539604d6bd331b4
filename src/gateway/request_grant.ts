/**
 * Requests a grant to send a call to a rate-limited upstream.
 *
 * @module
 */

import type { Call, ServingContext } from "./types.ts";

/**
 * Requests a grant, and logs if none is available.
 *
 * @param call - The call.
 * @param context - The rate limits and the log.
 * @param engineId - The upstream.
 * @returns A promise that resolves when an upstream can be chosen again.
 * @throws Nothing.
 * @example
 * void requestGrant(call, context, engineId).then(next);
 */
export async function requestGrant(
  { request }: Call,
  { rateLimits, log }: Pick<ServingContext, "rateLimits" | "log">,
  engineId: string,
): Promise<void> {
  await rateLimits.requestGrant(engineId);
  const waitMs = Math.ceil(rateLimits.getWaitMs(engineId));
  if (waitMs === 0) return;
  const limitPerS = rateLimits.getLimitPerS(engineId);
  const { requestId } = request;
  log("callNotGranted", { requestId, engineId, limitPerS, waitMs });
}
