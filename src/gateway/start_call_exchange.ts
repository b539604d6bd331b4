/**
 * Sends a call to an upstream.
 *
 * @module
 */

import type { Exchange, ExchangeOptions } from "./create_exchanger.ts";
import type { SendGrant } from "./create_rate_limits.ts";
import type { AddressedPart } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** Where a call is sent, and who hears of the answer. */
export interface StartCallExchangeOptions
  extends Pick<ExchangeOptions, "onHead" | "onData" | "onEnd"> {
  /** Upstream that takes it: the first of the path where there is one. */
  readonly engine: Pick<AddressedPart, "engineId" | "address">;
  /** Parts of a layered model; none where one upstream has all. */
  readonly path: readonly AddressedPart[];
  /** Leave to send to the upstream; given back where nothing is sent. */
  readonly grant: SendGrant;
  /** Event after which the answer is to go on. */
  readonly lastEventId: string | undefined;
}

/**
 * Sends a call with all that an upstream is told of it; the deadline that is
 * passed on is what is left of the call's.
 *
 * @param call - The call.
 * @param context - The codec, the connections and the time.
 * @param options - The upstream, and who hears of the answer.
 * @returns The exchange under way.
 * @throws Nothing.
 * @example
 * const exchange = startCallExchange(call, context, options);
 */
export function startCallExchange(
  call: Call,
  context: ServingContext,
  options: StartCallExchangeOptions,
): Exchange {
  const { request, body, account } = call;
  const { notices, rateLimits } = context;
  const { engine, path, grant, lastEventId, onData } = options;
  const { engineId, address } = engine;
  const endSend = notices.beginSend(engineId);
  // Its own send may be the one that fills what an upstream takes at first after a back-off.
  const mayReach = (one: string) =>
    notices.getBackOffLeftMs(one) === 0 && !notices.isLeaving(one);
  const sentMs = context.now();
  const leftMs = Math.floor(call.deadlineMs - sentMs);
  return context.exchanger.start({
    engineId,
    address,
    method: request.method,
    target: request.target,
    headers: context.codec.formatUpstreamHeaders(request, {
      deadlineMs: Math.max(1, leftMs),
      engineId,
      account: account?.name,
      lastEventId,
      path,
    }),
    body,
    requestId: request.requestId,
    mayLeave: () =>
      grant.isValid() &&
      [engine, ...path].every((one) => mayReach(one.engineId)),
    onHead(head) {
      const { limitPerS } = head;
      // A refusal may come from what stands before the engine and knows no limit.
      if (limitPerS !== undefined && !head.saysNotRun) {
        rateLimits.takeAnswer(engineId, { limitPerS, sentMs });
      }
      endSend({ isTaken: !head.saysNotRun });
      options.onHead(head);
    },
    onData,
    onEnd(end) {
      endSend({ isTaken: false });
      if (end.type === "notSent" || end.type === "withheld") grant.giveBack();
      options.onEnd(end);
    },
  });
}
