/**
 * Ends a call that can't be sent before a time that is known.
 *
 * @module
 */

import type { CallEnd } from "./create_call_end.ts";
import type { Call, ServingContext } from "./types.ts";

/** How far the call has come, and when its caller may come again. */
export interface RefuseForLaterOptions {
  readonly callEnd: CallEnd;
  /** Whether upstreams are backed off or at their rate limits. */
  readonly reason: "resting" | "limited";
  readonly tries: number;
  readonly runs: number;
  readonly retryAfterMs: number;
}

/**
 * Refuses a call of which nothing has run, and says when its caller may come again.
 *
 * @param call - The call.
 * @param context - Where it is told.
 * @param options - How far the call has come, and until when.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * refuseForLater(call, context, { callEnd, reason, tries, runs, retryAfterMs });
 */
export function refuseForLater(
  { request }: Call,
  { log }: Pick<ServingContext, "log">,
  options: RefuseForLaterOptions,
): void {
  const { callEnd, reason, tries, runs, retryAfterMs } = options;
  const { requestId } = request;
  log("callGivenUp", { requestId, reason, tries, runs, retryAfterMs });
  callEnd.refuse({ status: 503, reason, retryAfterMs });
}
