/**
 * Logs and counts an answer that exceeded a limit.
 *
 * @module
 */

import type { UpstreamLimit } from "./gateway_error.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Logs that an upstream sent more than a limit allows.
 *
 * @param call - The call that it answered.
 * @param context - The log and the metrics.
 * @param options - The upstream, and the limit.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * logExceededLimit(call, context, { engineId, limit: "answerBytes" });
 */
export function logExceededLimit(
  { request, service }: Pick<Call, "request" | "service">,
  { log, metrics }: Pick<ServingContext, "log" | "metrics">,
  options: { readonly engineId: string; readonly limit: UpstreamLimit },
): void {
  metrics.count("upstream.limits_exceeded");
  const { requestId } = request;
  log("upstreamLimitExceeded", { requestId, service, ...options });
}
