/**
 * The upstreams to which a call may be sent now.
 *
 * @module
 */

import type { EngineView } from "./engine_view.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Lists the upstreams of a call's service that accept new work and whose rate limits
 * allow another request, as far as this gateway knows.
 *
 * @param call - The call.
 * @param context - The upstreams and their limits.
 * @returns The upstreams.
 * @throws Nothing.
 * @example
 * const engine = chooseEngine(listSendableEngines(call, context), options);
 */
export function listSendableEngines(
  { service }: Pick<Call, "service">,
  { engines, rateLimits }: Pick<ServingContext, "engines" | "rateLimits">,
): EngineView[] {
  return engines.listUsable(service)
    .filter(({ record }) => rateLimits.maySend(record.engineId));
}
