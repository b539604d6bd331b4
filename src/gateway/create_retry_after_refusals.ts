/**
 * Refuses calls that can't be sent before a known time.
 *
 * @module
 */

import type { CallEnd } from "./create_call_end.ts";
import type { Call, ServingContext } from "./types.ts";

/** Refuses a call that has not run, and says when to retry. */
export interface RetryAfterRefusals {
  /** For calls whose upstreams are backed off. */
  refuseForBackOff(retryAfterMs: number): void;
  /** For calls whose upstreams allow no send for leftMs, due to rate limits. */
  refuseForLimit(leftMs: number): void;
}

/** The end of the call, and its attempts so far. */
export interface CreateRetryAfterRefusalsOptions {
  readonly callEnd: CallEnd;
  readonly getProgress: () => { readonly tries: number; readonly runs: number };
}

/**
 * Creates the refusals of one call.
 *
 * @param call - The call.
 * @param context - The schedule of retries, and the log.
 * @param options - The end of the call, and its attempts so far.
 * @returns The refusals.
 * @throws Nothing.
 * @example
 * const { refuseForLimit } = createRetryAfterRefusals(call, context, options);
 */
export function createRetryAfterRefusals(
  { request, service }: Call,
  { limitRetryAfterSchedule, log }: Pick<
    ServingContext,
    "limitRetryAfterSchedule" | "log"
  >,
  options: CreateRetryAfterRefusalsOptions,
): RetryAfterRefusals {
  const { callEnd, getProgress } = options;

  function refuse(reason: "resting" | "limited", retryAfterMs: number): void {
    const { requestId } = request;
    log("callGivenUp", { requestId, reason, ...getProgress(), retryAfterMs });
    callEnd.refuse({ status: 503, reason, retryAfterMs });
  }

  return {
    refuseForBackOff: (retryAfterMs) => refuse("resting", retryAfterMs),
    refuseForLimit(leftMs) {
      const waitMs = Math.max(
        leftMs,
        limitRetryAfterSchedule.getWaitMs(service),
      );
      refuse("limited", Math.ceil(waitMs));
    },
  };
}
