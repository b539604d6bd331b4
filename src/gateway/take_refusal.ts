/**
 * What follows for engines from a refusal of a stream's request.
 *
 * @module
 */

import { noteBackOff } from "./note_back_off.ts";
import type { UpstreamHead } from "./protocol.ts";
import type { StreamRun } from "./start_stream_run.ts";
import type { Call, ServingContext } from "./types.ts";

/** The run that was refused, and with what. */
export interface TakeRefusalOptions {
  readonly sent: Pick<StreamRun, "path" | "sentMs">;
  readonly head: UpstreamHead;
}

/** Status of an engine that isn't the one that was meant, or not its part. */
const MISDIRECTED = 421;

/** Ms after which a refusal tells of an engine that is dead, not full. */
const DEAD_REFUSAL_MS = 1_000;

/**
 * Takes a refusal: the engine at fault is left out for a moment, as lost where it
 * seems to be. The back-off is of whoever answered: it is the one that
 * wants nothing. Where it names another engine, that one has no room either for as
 * long. One that has answered with a wish of its own is not lost, however late.
 *
 * @param call - The call.
 * @param context - The engines.
 * @param options - The run and the answer.
 * @returns The engine at fault.
 * @throws Nothing.
 * @example
 * excluded.add(takeRefusal(call, context, { sent, head }));
 */
export function takeRefusal(
  call: Call,
  context: ServingContext,
  { sent, head }: TakeRefusalOptions,
): string {
  const { engines, notices, runWatch, now, log } = context;
  const { status, backOffMs, faultAddress } = head;
  const [first] = sent.path;
  const faulty = sent.path.find(({ address }) => address === faultAddress) ??
    first;
  const { engineId } = faulty;
  const tookMs = Math.round(now() - sent.sentMs);
  const namesOther = backOffMs !== undefined && faulty !== first;
  if (namesOther) notices.take(engineId, { backOffMs, isLeaving: false });
  const hasOwnWish = backOffMs !== undefined && !namesOther;
  const isDead = tookMs > DEAD_REFUSAL_MS && !hasOwnWish;
  if (status === MISDIRECTED || isDead) {
    engines.suspect(engineId, `refused with ${status}`);
  } else {
    engines.noteFull(engineId);
    if (backOffMs === undefined) runWatch.checkEngine(faulty);
  }
  if (backOffMs !== undefined) noteBackOff(call, context);
  log("callNotRun", {
    requestId: call.request.requestId,
    answeredBy: first.engineId,
    faulty: engineId,
    status,
    tookMs,
    backOffMs,
  });
  return engineId;
}
