/**
 * Passes a call on to a peer, over the interface that callers use.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Peer } from "../reachability/index.ts";
import {
  classifyPeerAnswer,
  type PeerAnswerMeaning,
} from "./classify_peer_answer.ts";
import { createHeldAnswer } from "./create_held_answer.ts";
import type { Exchange, ExchangeEnd } from "./create_upstream_transport.ts";
import { logExceededLimit } from "./log_exceeded_limit.ts";
import type { UpstreamHead } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** Options of {@link startForwardedExchange}. */
export interface StartForwardedExchangeOptions {
  readonly peer: Peer;
  /** Id of the event after which the answer resumes. */
  readonly lastEventId: string | undefined;
  /**
   * Called again and again while the peer is in doubt: it is silent, or not listed. The
   * exchange goes on.
   */
  readonly onDoubt: (reason: string) => void;
  /** Ms for which a stream has been silent; absent if the answer is not a stream. */
  readonly getSilenceMs?: () => number;
  readonly onHead?: (head: UpstreamHead) => void;
  /** Called with the data of an upstream's success; by default it is collected. */
  readonly onData?: (chunk: Buffer) => void;
  readonly onEnd: (end: ForwardedEnd) => void;
}

/** How a forwarded call ended. */
export interface ForwardedEnd {
  readonly meaning: PeerAnswerMeaning;
  readonly how: ExchangeEnd;
  readonly head: UpstreamHead | undefined;
  /** The data that was collected. */
  readonly body: Buffer;
}

const SUCCESS_STATUS = 200;

/** Ms between two checks of the peer. */
const WATCH_INTERVAL_MS = 100;

/**
 * Ms of silence after which a stream leaves a peer. A peer that works moves streams off
 * silent engines sooner.
 */
const MAX_SILENCE_MS = 1_500;

/**
 * Passes a call on. The peer sends it to one upstream at most and never passes it on
 * again, so it counts as one run here.
 *
 * @param call - The call.
 * @param context - The peers, the connections to them and the clock.
 * @param options - The peer, and callbacks for the answer.
 * @returns The exchange in progress.
 * @throws Nothing.
 * @example
 * const exchange = startForwardedExchange(call, context, options);
 */
export function startForwardedExchange(
  call: Call,
  context: ServingContext,
  options: StartForwardedExchangeOptions,
): Exchange {
  const { request, service } = call;
  const { peers, log, metrics, now } = context;
  const { peer, lastEventId, onDoubt } = options;
  const { requestId } = request;
  const { vm } = peer;
  const answer = createHeldAnswer(context.heldBytes, {
    upstreamId: vm,
    pause: () => exchange.pause(),
    resume: () => exchange.resume(),
  });
  const sentMs = now();
  let head: UpstreamHead | undefined;
  const endRequest = peers.beginRequest(vm);
  const watch = setInterval(checkPeer, WATCH_INTERVAL_MS);

  function checkPeer(): void {
    const silenceMs = options.getSilenceMs?.() ?? 0;
    if (!peers.isListed(vm)) onDoubt("peer is no longer listed");
    else if (silenceMs > MAX_SILENCE_MS) onDoubt("peer is silent");
  }

  function handleEnd(how: ExchangeEnd): void {
    clearInterval(watch);
    endRequest();
    const body = answer.end();
    const text = head?.isSigned ? "" : body.toString();
    const meaning = classifyPeerAnswer({ how, head, text });
    if (meaning.type !== "answered") {
      metrics.count("peers.not_served");
      log("forwardingFailed", {
        requestId,
        peer: vm,
        ...meaning,
        status: head?.status,
        tookMs: Math.round(now() - sentMs),
      });
    }
    if (meaning.type === "notTaken") {
      peers.leaveOut(vm, how.type === "notSent" ? undefined : service);
    }
    if (how.type === "broken" && how.limit) {
      logExceededLimit(call, context, { engineId: vm, limit: how.limit });
    }
    options.onEnd({ meaning, how, head, body });
    answer.releaseWith(call.response);
  }

  metrics.count("peers.forwarded");
  log("callForwarded", { requestId, requestKey: call.requestKey, peer: vm });
  const exchange = context.peerTransport.start({
    engineId: vm,
    address: peer.address,
    method: request.method,
    target: request.target,
    headers: context.codec.formatPeerHeaders(request, {
      forwardedBy: context.vm,
      deadlineMs: Math.max(1, Math.floor(call.deadlineMs - sentMs)),
      lastEventId,
    }),
    body: call.body,
    requestId,
    onHead(received) {
      head = received;
      if (received.isSigned) options.onHead?.(received);
    },
    isForwarded: (received) =>
      options.onData !== undefined && isSuccess(received),
    needsRejectionBody: true,
    onData(chunk) {
      if (options.onData && isSuccess(head)) options.onData(chunk);
      else answer.push(chunk);
    },
    onEnd: handleEnd,
  });
  return exchange;
}

function isSuccess(head: UpstreamHead | undefined): boolean {
  return head?.isSigned === true && head.status === SUCCESS_STATUS;
}
