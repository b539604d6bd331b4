/**
 * Sends a call to an upstream.
 *
 * @module
 */

import type {
  Exchange,
  ExchangeEnd,
  ExchangeOptions,
} from "./create_upstream_transport.ts";
import { logExceededLimit } from "./log_exceeded_limit.ts";
import type { SendGrant } from "./create_rate_limits.ts";
import type { AddressedPart } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** Options of {@link startCallExchange}: the upstream, and callbacks for the answer. */
export interface StartCallExchangeOptions
  extends Pick<ExchangeOptions, "onHead" | "onData" | "onEnd" | "isForwarded"> {
  /** Upstream to send to: the first engine of the path if there is one. */
  readonly engine: Pick<AddressedPart, "engineId" | "address">;
  /** Path over the parts of a layered model; empty if one upstream serves alone. */
  readonly path: readonly AddressedPart[];
  /** Rate-limit grant to send to the upstream; returned if nothing is sent. */
  readonly grant: SendGrant;
  /** Id of the event after which the answer resumes. */
  readonly lastEventId: string | undefined;
}

/** Least urgent priority that upstreams tell apart. */
const MAX_SENT_PRIORITY = 9;

/** Ms without a connection after which the reachability of the service is checked. */
const SLOW_CONNECT_MS = 100;

/**
 * Sends a call with the headers that the upstream needs. The deadline in them is the
 * time that the call has left.
 *
 * @param call - The call.
 * @param context - The codec, the connections and the clock.
 * @param options - The upstream, and callbacks for the answer.
 * @returns The exchange in progress.
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
  const { notices, rateLimits, reachability } = context;
  const { engine, path, grant, lastEventId, onData } = options;
  const { engineId, address } = engine;
  const reportSendEnd = notices.beginSend(engineId);
  // Checks only for a back-off in force. Right after one an upstream accepts few
  // requests, and this send, which is already counted, may use up that number.
  const mayReceive = (one: string) =>
    notices.getBackOffLeftMs(one) === 0 && !notices.isLeaving(one);
  const connecting = watchConnecting(
    call,
    context,
    () => exchange.abort("cut off"),
  );
  let needsEndCheck = false;
  const sentMs = context.now();
  const remainingMs = Math.floor(call.deadlineMs - sentMs);
  const exchange = context.upstreamTransport.start({
    engineId,
    address,
    method: request.method,
    target: request.target,
    headers: context.codec.formatUpstreamHeaders(request, {
      deadlineMs: Math.max(1, remainingMs),
      engineId,
      account: account?.name,
      priority: getSentPriority(call),
      lastEventId,
      path,
    }),
    body,
    requestId: request.requestId,
    isForwarded: options.isForwarded,
    maySend() {
      connecting[Symbol.dispose]();
      return grant.isValid() &&
        context.quarantine.judge(call).type !== "held" &&
        [engine, ...path].every((one) => mayReceive(one.engineId));
    },
    onHead(head) {
      reachability.noteReceived(call.service);
      const { limitPerS } = head;
      needsEndCheck = head.endsWithConnection && !head.reportsNotRun;
      // A rejection may come from a proxy in front of the engine, which knows no limit.
      if (limitPerS !== undefined && !head.reportsNotRun) {
        rateLimits.noteAnswer(engineId, { limitPerS, sentMs });
      }
      reportSendEnd({ isAccepted: !head.reportsNotRun });
      options.onHead(head);
    },
    onData(chunk) {
      reachability.noteReceived(call.service);
      onData(chunk);
    },
    onEnd(end) {
      connecting[Symbol.dispose]();
      reportSendEnd({ isAccepted: false });
      if (end.type === "notSent" || end.type === "withheld") grant.release();
      if (end.type === "broken" && end.limit) {
        logExceededLimit(call, context, { engineId, limit: end.limit });
      }
      if (end.type !== "complete" || !needsEndCheck) return options.onEnd(end);
      void checkEnd(context, engine).then(options.onEnd);
    },
  });
  return exchange;
}

// A crash closes the connection just as the end of such an answer does. A refusal counts
// whoever sends it: it proves no crash, but nor does it show that the answer was whole.
async function checkEnd(
  { livenessCheck }: Pick<ServingContext, "livenessCheck">,
  engine: Pick<AddressedPart, "engineId" | "address">,
): Promise<ExchangeEnd> {
  return await livenessCheck.refusesConnections(engine)
    ? { type: "broken", reason: "upstream ended with its answer" }
    : { type: "complete" };
}

// Upstreams treat all requests without a priority alike.
function getSentPriority({ rank, rankCount }: Call): number | undefined {
  return rankCount > 1 ? Math.min(MAX_SENT_PRIORITY, rank) : undefined;
}

// A connection that is slow to come up may be the first sign of a partition.
function watchConnecting(
  { service }: Call,
  { reachability }: Pick<ServingContext, "reachability">,
  onCutOff: () => void,
): Disposable {
  const timer = setTimeout(
    () => void reachability.check(service),
    SLOW_CONNECT_MS,
  );
  const stopListening = reachability.onCutOff(service, onCutOff);
  return {
    [Symbol.dispose]() {
      clearTimeout(timer);
      stopListening();
    },
  };
}
