/**
 * Updates the state of engines after one refused the request of a stream.
 *
 * @module
 */

import { noteBackOff } from "./note_back_off.ts";
import type { UpstreamHead } from "./protocol.ts";
import type { StreamRun } from "./start_stream_run.ts";
import type { Call, ServingContext } from "./types.ts";

/** The refused run, and the answer. */
export interface HandleRefusalOptions {
  readonly sent: Pick<StreamRun, "path" | "sentMs">;
  readonly head: UpstreamHead;
}

/** Status of an engine that was not the intended one, or does not hold the layers. */
const MISDIRECTED_STATUS = 421;

/** Time, in ms, after which a refusal means that an engine is dead, not full. */
const DEAD_ENGINE_REFUSAL_MS = 1_000;

/**
 * Handles a refusal: the engine at fault is excluded for a while, as suspected if it
 * seems to be dead. A back-off applies to the engine that answered. If the answer names
 * another engine at fault, that one is backed off for the same time. An engine that
 * asked for its own back-off is not dead, however late it answered.
 *
 * @param call - The call.
 * @param context - The engines.
 * @param options - The refused run, and the answer.
 * @returns The engine at fault.
 * @throws Nothing.
 * @example
 * excluded.add(handleRefusal(call, context, { sent, head }));
 */
export function handleRefusal(
  call: Call,
  context: ServingContext,
  { sent, head }: HandleRefusalOptions,
): string {
  const { engines, notices, runMonitor, now, log } = context;
  const { status, backOffMs, faultAddress } = head;
  const [first] = sent.path;
  const faulty = sent.path.find(({ address }) => address === faultAddress) ??
    first;
  const { engineId } = faulty;
  const tookMs = Math.round(now() - sent.sentMs);
  const namesOther = backOffMs !== undefined && faulty !== first;
  if (namesOther) notices.record(engineId, { backOffMs, isLeaving: false });
  const isOwnBackOff = backOffMs !== undefined && !namesOther;
  const isDead = tookMs > DEAD_ENGINE_REFUSAL_MS && !isOwnBackOff;
  if (status === MISDIRECTED_STATUS || isDead) {
    engines.suspect(engineId, `refused with ${status}`);
  } else {
    engines.noteFull(engineId);
    if (backOffMs === undefined) runMonitor.checkEngine(faulty);
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
