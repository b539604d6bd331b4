/**
 * Reports back-offs that upstreams ask for to the throttle.
 *
 * @module
 */

import { getCallModel } from "./get_call_model.ts";
import { listFirstUpstreams } from "./list_first_upstreams.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Reports to the throttle that an upstream rejected a call and asked for a back-off.
 *
 * @param call - The call.
 * @param context - The upstreams and the throttle.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * if (head.backOffMs !== undefined) noteBackOff(call, context);
 */
export function noteBackOff(
  call: Call,
  context: Pick<ServingContext, "engines" | "getTable" | "throttle">,
): void {
  const { engines, throttle } = context;
  const { service } = call;
  const isLayered = getCallModel(call, context) !== undefined;
  const usable = listFirstUpstreams(call, context).length;
  const backedOff = engines.listBackedOff(service)
    .filter(({ record }) => !isLayered || record.layers?.fromLayer === 0)
    .length;
  const backedOffShare = backedOff / Math.max(1, usable + backedOff);
  throttle.noteBackOff(service, { backedOffShare });
}
