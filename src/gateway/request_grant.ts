/**
 * Asks for leave to send a call to an upstream that is limited.
 *
 * @module
 */

import type { Call, ServingContext } from "./types.ts";

/**
 * Asks for a grant, and logs where there is none to be had.
 *
 * @param call - The call.
 * @param context - The limits, and where it is told.
 * @param engineId - The upstream.
 * @returns A promise that resolves when it is time to choose an upstream again.
 * @throws Nothing.
 * @example
 * void requestGrant(call, context, engineId).then(next);
 */
export async function requestGrant(
  { request }: Call,
  { rateLimits, log }: Pick<ServingContext, "rateLimits" | "log">,
  engineId: string,
): Promise<void> {
  await rateLimits.request(engineId);
  const waitMs = Math.ceil(rateLimits.getWaitMs(engineId));
  if (waitMs === 0) return;
  const limitPerS = rateLimits.getLimitPerS(engineId);
  const { requestId } = request;
  log("callNotGranted", { requestId, engineId, limitPerS, waitMs });
}
