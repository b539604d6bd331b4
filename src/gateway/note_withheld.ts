/**
 * Notes that a request was withheld.
 *
 * @module
 */

import type { Call, ServingContext } from "./types.ts";

/**
 * Notes that a request had not left yet when its upstream asked for a back-off or left. It
 * has reached nobody, which is no try.
 *
 * @param call - The call.
 * @param context - Where it is told.
 * @param engineId - The upstream.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * if (how.type === "withheld") noteWithheld(call, context, engineId);
 */
export function noteWithheld(
  { request }: Call,
  { log, metrics }: Pick<ServingContext, "log" | "metrics">,
  engineId: string,
): void {
  metrics.count("requests.withheld");
  log("callWithheld", { requestId: request.requestId, engineId });
}
