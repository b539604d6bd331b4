/**
 * Ends calls that can't be sent before a time that is known.
 *
 * @module
 */

import type { CallEnd } from "./create_call_end.ts";
import type { Call, ServingContext } from "./types.ts";

/** Refuses a call of which nothing has run, and says when to come again. */
export interface LaterRefusals {
  /** Where upstreams are backed off. */
  refuseForBackOff(retryAfterMs: number): void;
  /** Where upstreams are at their rate limits: Ms until one may have a send left. */
  refuseForLimit(leftMs: number): void;
}

/** The call's end, and how far it has come. */
export interface CreateLaterRefusalsOptions {
  readonly callEnd: CallEnd;
  readonly getProgress: () => { readonly tries: number; readonly runs: number };
}

/**
 * Makes the refusals of one call.
 *
 * @param call - The call.
 * @param context - The turns of callers that come again, and where it is told.
 * @param options - The call's end, and how far it has come.
 * @returns The refusals.
 * @throws Nothing.
 * @example
 * const { refuseForLimit } = createLaterRefusals(call, context, options);
 */
export function createLaterRefusals(
  { request, service }: Call,
  { limitReturns, log }: Pick<ServingContext, "limitReturns" | "log">,
  options: CreateLaterRefusalsOptions,
): LaterRefusals {
  const { callEnd, getProgress } = options;

  function refuse(reason: "resting" | "limited", retryAfterMs: number): void {
    const { requestId } = request;
    log("callGivenUp", { requestId, reason, ...getProgress(), retryAfterMs });
    callEnd.refuse({ status: 503, reason, retryAfterMs });
  }

  return {
    refuseForBackOff: (retryAfterMs) => refuse("resting", retryAfterMs),
    refuseForLimit(leftMs) {
      const waitMs = Math.max(leftMs, limitReturns.getWaitMs(service));
      refuse("limited", Math.ceil(waitMs));
    },
  };
}
