/**
 * Admission of new calls while upstreams of their service are backed off.
 *
 * @module
 */

import { listFirstUpstreams } from "./list_first_upstreams.ts";
import type { EngineView } from "./engine_view.ts";
import { jitterRetryAfterMs } from "./jitter_retry_after_ms.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Shortest retry-after, in ms, of a call that the throttle rejects: the limit changes
 * within a second.
 */
const MIN_RETRY_AFTER_MS = 300;

/**
 * Share of the slots of upstreams that aren't backed off that has to be in use before
 * calls are limited. What was served under a small load doesn't show how much the
 * upstreams can bear.
 */
const BUSY_SHARE = 0.5;

/**
 * Admits a new call, or rejects it with the time after which its caller may retry.
 *
 * @param call - The call.
 * @param context - The upstreams, the throttle and the random source.
 * @returns Ms after which the caller may retry; undefined where the call is admitted.
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
  if (!isBusy(listFirstUpstreams(call, context))) return undefined;
  const waitMs = throttle.admit(call.service);
  if (waitMs === undefined) return undefined;
  const minWaitMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
  return jitterRetryAfterMs(minWaitMs, context.random());
}

/**
 * Checks whether upstreams have little free capacity, as far as their loads are known.
 *
 * @param upstreams - Upstreams that accept new work.
 * @returns Whether more than half of their slots are in use; false where there are
 * none.
 * @throws Nothing.
 * @example
 * if (isBusy(table.listUsable(service))) return throttle.admit(service);
 */
export function isBusy(upstreams: readonly EngineView[]): boolean {
  const usedSlots = upstreams.reduce(
    (sum, { inFlight, otherRequests }) => sum + inFlight + otherRequests,
    0,
  );
  const slots = upstreams.reduce((sum, { record }) => sum + record.slots, 0);
  return usedSlots > BUSY_SHARE * slots;
}
