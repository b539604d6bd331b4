/**
 * Whether a new call is let in while upstreams of its service are backed off.
 *
 * @module
 */

import { listBeginners } from "./create_run_permit.ts";
import type { EngineView } from "./engine_view.ts";
import { spreadReturnMs } from "./spread_return_ms.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Ms after which a caller comes again at least where what upstreams can bear is
 * taken: the limit changes within a second.
 */
const LEAST_RETRY_AFTER_MS = 300;

/**
 * Share of the slots of those that aren't backed off which has to be taken before anything
 * is limited: what a small load was served says nothing of what they can bear.
 */
const BUSY_SHARE = 0.5;

/**
 * Lets a new call in, or says when its caller may come again.
 *
 * @param call - The call.
 * @param context - The upstreams, the throttle and chance.
 * @returns Ms to tell the caller; undefined where it is let in.
 * @throws Nothing.
 * @example
 * const retryAfterMs = admitCall(call, context);
 */
export function admitCall(
  call: Call,
  context: Pick<
    ServingContext,
    "engines" | "getTable" | "throttle" | "random"
  >,
): number | undefined {
  const { throttle } = context;
  if (!throttle.isLimited(call.service)) return undefined;
  if (!isBusy(listBeginners(call, context))) return undefined;
  const waitMs = throttle.admit(call.service);
  if (waitMs === undefined) return undefined;
  const leastMs = Math.max(LEAST_RETRY_AFTER_MS, waitMs);
  return spreadReturnMs(leastMs, context.random());
}

/**
 * Tells whether upstreams have little room left, as far as their loads are known.
 *
 * @param upstreams - Those that take new work.
 * @returns Whether half of their slots are taken; false where there are none.
 * @throws Nothing.
 * @example
 * if (isBusy(table.listUsable(service))) return throttle.admit(service);
 */
export function isBusy(upstreams: readonly EngineView[]): boolean {
  const taken = upstreams.reduce(
    (sum, { inFlight, otherRequests }) => sum + inFlight + otherRequests,
    0,
  );
  const slots = upstreams.reduce((sum, { record }) => sum + record.slots, 0);
  return taken > BUSY_SHARE * slots;
}
