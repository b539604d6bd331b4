/**
 * Records requests that were withheld from an upstream.
 *
 * @module
 */

import type { Call, ServingContext } from "./types.ts";

/**
 * Records that a request was not sent because its upstream had asked for a back-off or
 * departed. It reached no upstream, so it does not count as an attempt.
 *
 * @param call - The call.
 * @param context - The log and the metrics.
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
