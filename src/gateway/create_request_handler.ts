/**
 * Handles callers' requests: reads the body, decides, then serves or refuses.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { closeUnreadAnswer } from "./close_unread_answer.ts";
import { sendRefusal } from "./send_refusal.ts";
import type { ReceivedRequest } from "./create_caller_server.ts";
import type { ConfigLease } from "./create_config_lease.ts";
import { decideCall } from "./decide_call.ts";
import { getCallRank } from "./get_call_rank.ts";
import { getRequestKey } from "./get_request_key.ts";
import { createBodyMemory, discardBody, readBody } from "../http/index.ts";
import { getPartKeys } from "../quarantine/index.ts";
import type { CallerRequest, Refusal } from "./protocol.ts";
import { servePlainCall } from "./serve_plain_call.ts";
import { serveStreamCall } from "./serve_stream_call.ts";
import type { Call, ServingContext } from "./types.ts";

/** Options of {@link createRequestHandler}. */
export interface CreateRequestHandlerOptions {
  readonly context: ServingContext;
  readonly lease: ConfigLease;
  /** Bytes of request bodies that are held at most. */
  readonly maxBodyMemoryBytes: number;
  /** Whether the leader has sent the list of upstreams. */
  readonly knowsEngines: () => boolean;
  /** Whether new requests are rejected because the process is stopping. */
  readonly isDraining: () => boolean;
}

/** Handles callers' requests. */
export interface RequestHandler {
  handle(received: ReceivedRequest): Promise<void>;
  /** Requests that are being read or served. */
  getInFlight(): number;
  /** The same, and requests whose answers callers have not taken yet. */
  getUnfinished(): number;
}

/** Limits before there is a configuration. */
const DEFAULT_LIMITS = { bodyBytes: 4 * 1024 * 1024, idleTimeoutMs: 15_000 };

/** Ms by which the idle timeout is exceeded, for data that is on its way. */
const IDLE_MARGIN_MS = 1_000;

/** Time to receive a body without a route. */
const DEFAULT_BODY_TIMEOUT_MS = 15_000;

/** How much of a body is read once its request was refused. */
const DISCARD_LIMITS = { maxBytes: 16 * 1024 * 1024, timeoutMs: 2_000 };

/** Refusals of requests whose body is not accepted. */
const BODY_REFUSALS = {
  tooLarge: { status: 413, reason: "body_too_large" },
  late: { status: 408, reason: "body_timeout" },
  noRoom: { status: 503, reason: "body_memory", retryAfterMs: 1_000 },
} as const satisfies Record<string, Refusal>;

/**
 * Maximum time that requests wait for the first configuration after a start: about
 * as long as it takes to find a new leader.
 */
const START_MAX_WAIT_MS = 1_800;

/** Interval between checks for the first configuration. */
const START_POLL_MS = 10;

/**
 * Refusal of a call that a planned stop would cut; other gateways can take it at
 * once. Without it, two streams in one run and one in another were cut by a stop.
 */
const LEAVING_REFUSAL: Refusal = {
  status: 503,
  reason: "leaving",
  retryAfterMs: 20,
};

/** Requests of other gateways that are always served at the same time. */
const MIN_FORWARDED_LIMIT = 64;

/** Requests of other gateways that are served for each one of this gateway's callers. */
const FORWARDED_PER_OWN = 4;

/** Refusal of a request of another gateway, which tries a third one. */
const PEER_LIMIT_REFUSAL: Refusal = {
  status: 503,
  reason: "peer_limit",
  retryAfterMs: 500,
};

/** A request whose body was read completely. */
type BufferedRequest = Pick<
  Call,
  "request" | "response" | "body" | "startedMs"
>;

/**
 * Creates the request handler.
 *
 * @param options - The state by which requests are decided and served.
 * @returns The request handler.
 * @throws Nothing.
 * @example
 * const requestHandler = createRequestHandler(options);
 */
export function createRequestHandler(
  options: CreateRequestHandlerOptions,
): RequestHandler {
  const { context, lease } = options;
  const { codec, now, log, metrics, budget } = context;
  const bodyMemory = createBodyMemory({
    maxBytes: options.maxBodyMemoryBytes,
  });
  const openResponses = new Set<ServerResponse>();
  let inFlight = 0;
  let forwardedInFlight = 0;

  async function handle(received: ReceivedRequest): Promise<void> {
    const startedMs = now();
    const { response } = received;
    inFlight += 1;
    openResponses.add(response);
    response.once("close", () => openResponses.delete(response));
    try {
      await readAndServe(received, startedMs);
    } catch (error) {
      log("internalError", { error });
      sendRefusal(response, {
        codec,
        request: undefined,
        refusal: { status: 500, reason: "internal_error" },
      });
    } finally {
      inFlight -= 1;
      closeUnreadAnswer(response, { timeoutMs: getIdleTimeoutMs() });
    }
  }

  async function readAndServe(
    { message, response, target }: ReceivedRequest,
    startedMs: number,
  ): Promise<void> {
    const request = codec.readRequest({
      method: message.method ?? "GET",
      target,
      headers: message.headers,
      rawHeaders: message.rawHeaders,
    });
    const hold = bodyMemory.open();
    // A call is reachable from its response, and its body with it, until then.
    response.on("close", () => hold[Symbol.dispose]());
    const body = await readBody(message, {
      hold,
      maxBytes: (context.getTable()?.limits ?? DEFAULT_LIMITS).bodyBytes,
      timeoutMs: getBodyTimeoutMs(request),
      idleTimeoutMs: getIdleTimeoutMs(),
    });
    if (body.type === "cut") return;
    if (body.type === "whole") {
      return await serve({ request, response, body: body.body, startedMs });
    }
    hold[Symbol.dispose]();
    refuse(request, response, BODY_REFUSALS[body.type]);
    discardBody(message, DISCARD_LIMITS);
  }

  function getIdleTimeoutMs(): number {
    const { idleTimeoutMs } = context.getTable()?.limits ?? DEFAULT_LIMITS;
    return idleTimeoutMs + IDLE_MARGIN_MS;
  }

  // A body that is complete only after the deadline of its call is of no use.
  function getBodyTimeoutMs({ host, path, deadlineMs }: CallerRequest): number {
    const route = context.getTable()?.findRoute(host, path);
    const timeoutMs = route?.timeoutMs ?? DEFAULT_BODY_TIMEOUT_MS;
    return Math.min(deadlineMs ?? Infinity, timeoutMs);
  }

  async function serve(buffered: BufferedRequest): Promise<void> {
    const { request, response, startedMs } = buffered;
    await waitUntilStarted(buffered);
    const table = context.getTable();
    const decision = decideCall(request, {
      table,
      knowsEngines: options.knowsEngines(),
      isTrusted: lease.isValid(),
      isDraining: options.isDraining(),
      random: context.random(),
    });
    if (decision.type === "refuse") {
      return refuse(request, response, decision.refusal);
    }
    const isForwarded = request.forwardedBy !== undefined;
    if (isForwarded && !mayTakeForwarded()) {
      return refuse(request, response, PEER_LIMIT_REFUSAL);
    }
    const { service } = decision.call;
    const route = isForwarded
      ? { ...decision.call.route, maxAttempts: 1 }
      : decision.call.route;
    // The gateway that passed it on has counted it.
    if (!isForwarded) budget.noteRequest(service);
    const limitMs = Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
    const deadlineMs = startedMs + limitMs;
    const longestMs = route.isStream
      ? context.endRate.getMaxDurationMs()
      : context.responseTimes.getMaxMs(service);
    if (!canEndInGrace(longestMs)) {
      return refuse(request, response, LEAVING_REFUSAL);
    }
    const requestKey = getRequestKey({
      ...request,
      account: decision.call.account?.name,
      body: buffered.body,
    });
    const call: Call = {
      ...buffered,
      ...decision.call,
      ...getCallRank(decision.call, table),
      route,
      requestKey,
      partKeys: getPartKeys(request.promptPartIds),
      deadlineMs,
    };
    if (route.isStream && !isForwarded) context.rates.noteRequest(service);
    const serveCall = route.isStream ? serveStreamCall : servePlainCall;
    if (!isForwarded) return await serveCall(call, context);
    metrics.count("peers.taken");
    forwardedInFlight += 1;
    try {
      await serveCall(call, context);
    } finally {
      forwardedInFlight -= 1;
    }
  }

  // The work of other gateways must not crowd out this gateway's own callers.
  function mayTakeForwarded(): boolean {
    const ownInFlight = inFlight - forwardedInFlight;
    return forwardedInFlight <
      Math.max(MIN_FORWARDED_LIMIT, FORWARDED_PER_OWN * ownInFlight);
  }

  // A planned stop ends calls that still run, and callers that can't resume or repeat
  // them lose them. So a call starts only if the longest recent one would fit into the
  // grace.
  function canEndInGrace(longestMs: number): boolean {
    return !context.isLeaving() || longestMs < context.getGraceLeftMs();
  }

  async function waitUntilStarted(buffered: BufferedRequest): Promise<void> {
    const hasStarted = () =>
      context.getTable() !== undefined && options.knowsEngines() &&
      lease.wasEverValid();
    const { response, startedMs } = buffered;
    while (!hasStarted() && !options.isDraining() && !response.destroyed) {
      if (now() - startedMs > START_MAX_WAIT_MS) return;
      await sleep(START_POLL_MS);
    }
  }

  function refuse(
    request: CallerRequest,
    response: ServerResponse,
    refusal: Refusal,
  ): void {
    metrics.countRefusal(refusal.reason);
    log("requestRefused", {
      requestId: request.requestId,
      ...refusal,
      version: context.getTable()?.version,
      leaseLeftMs: Math.round(lease.getLeftMs()),
    });
    const closes = context.isLeaving();
    sendRefusal(response, { codec, request, refusal, closes });
  }

  return {
    handle,
    getInFlight: () => inFlight,
    getUnfinished: () => Math.max(inFlight, openResponses.size),
  };
}
