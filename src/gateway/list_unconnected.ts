/**
 * Lists the upstreams to which a new connection would be needed.
 *
 * @module
 */

import { listFirstUpstreams } from "./list_first_upstreams.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Lists the upstreams at which a call could begin, but to which no connection is idle.
 *
 * @param call - The call.
 * @param context - The upstreams and the connections to them.
 * @returns Their ids.
 * @throws Nothing.
 * @example
 * const excluded = new Set(listUnconnected(call, context));
 */
export function listUnconnected(
  call: Call,
  context: Pick<ServingContext, "engines" | "getTable" | "upstreamTransport">,
): string[] {
  return listFirstUpstreams(call, context)
    .map(({ record }) => record.engineId)
    .filter((id) => !context.upstreamTransport.hasIdleConnection(id));
}
