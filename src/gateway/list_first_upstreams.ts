/**
 * Lists the upstreams at which a call may begin.
 *
 * @module
 */

import type { EngineView } from "./engine_view.ts";
import { getCallModel } from "./get_call_model.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Lists the upstreams at which a call may begin, least loaded first.
 *
 * @param call - The call.
 * @param context - The upstreams.
 * @returns The upstreams.
 * @throws Nothing.
 * @example
 * const [first] = listFirstUpstreams(call, context);
 */
export function listFirstUpstreams(
  call: Call,
  context: Pick<ServingContext, "engines" | "getTable">,
): EngineView[] {
  const isLayered = getCallModel(call, context) !== undefined;
  const getRequests = (one: EngineView) => one.inFlight + one.otherRequests;
  return context.engines.listUsable(call.service)
    .filter(({ record }) => !isLayered || record.layers?.fromLayer === 0)
    .sort((a, b) => getRequests(a) - getRequests(b));
}
