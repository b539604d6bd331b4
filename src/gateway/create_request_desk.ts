/**
 * Takes callers' requests: reads them whole, decides, serves or refuses.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { answerRefusal } from "./answer_refusal.ts";
import type { ReceivedRequest } from "./create_caller_server.ts";
import type { ConfigLease } from "./create_config_lease.ts";
import { decideCall } from "./decide_call.ts";
import { getRequestKey } from "./get_request_key.ts";
import type { CallerRequest, Refusal } from "./protocol.ts";
import { readBody } from "./read_body.ts";
import { servePlainCall } from "./serve_plain_call.ts";
import { serveStreamCall } from "./serve_stream_call.ts";
import type { Call, ServingContext } from "./types.ts";

/** What the desk needs of its gateway. */
export interface CreateRequestDeskOptions {
  readonly context: ServingContext;
  readonly lease: ConfigLease;
  /** Whether the leader has told which upstreams there are. */
  readonly knowsEngines: () => boolean;
  /** Whether no new request is let in, since the process stops. */
  readonly isLastCall: () => boolean;
}

/** Takes callers' requests. */
export interface RequestDesk {
  take(received: ReceivedRequest): Promise<void>;
  /** Requests that are being read or served. */
  getInFlight(): number;
}

/** Body that is read where no configuration says how large it may be. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Ms for which a gateway that has just started lets requests wait for its
 * first configuration: about as long as a new leader takes to be found.
 */
const START_WAIT_MS = 1_800;

/** Ms between two looks whether the first configuration is there. */
const START_POLL_MS = 10;

/**
 * Refusal of a stream that a planned stop would cut; other gateways take it at
 * once. On the day that showed it, two and one streams were cut in two plays,
 * none since.
 */
const LEAVING: Refusal = { status: 503, reason: "leaving", retryAfterMs: 20 };

/** A request that was read whole. */
type TakenRequest = Pick<Call, "request" | "response" | "body" | "startedMs">;

/**
 * Makes the desk.
 *
 * @param options - What requests are decided by and served with.
 * @returns The desk.
 * @throws Nothing.
 * @example
 * const server = createCallerServer((received) => void desk.take(received));
 */
export function createRequestDesk(
  options: CreateRequestDeskOptions,
): RequestDesk {
  const { context, lease } = options;
  const { codec, now, log, metrics, budget } = context;
  let inFlight = 0;

  async function take(received: ReceivedRequest): Promise<void> {
    const startedMs = now();
    inFlight += 1;
    try {
      await read(received, startedMs);
    } catch (error) {
      log("internalError", { error });
      received.response.destroy();
    } finally {
      inFlight -= 1;
    }
  }

  async function read(
    { message, response, target }: ReceivedRequest,
    startedMs: number,
  ): Promise<void> {
    const { limits } = context.getTable() ?? {};
    const maxBytes = limits?.bodyBytes ?? DEFAULT_BODY_BYTES;
    const body = await readBody(message, { maxBytes });
    if (body.type === "cut") return;
    const request = codec.readRequest({
      method: message.method ?? "GET",
      target,
      headers: message.headers,
      rawHeaders: message.rawHeaders,
    });
    if (body.type === "tooLarge") {
      const refusal = { status: 413, reason: "body_too_large" } as const;
      return refuse(request, response, refusal);
    }
    await serve({ request, response, body: body.body, startedMs });
  }

  async function serve(taken: TakenRequest): Promise<void> {
    const { request, response, startedMs } = taken;
    await untilStarted(taken);
    const decision = decideCall(request, {
      table: context.getTable(),
      knowsEngines: options.knowsEngines(),
      isTrusted: lease.isValid(),
      isLastCall: options.isLastCall(),
      random: context.random(),
    });
    if (decision.type === "refuse") {
      return refuse(request, response, decision.refusal);
    }
    const { route, service } = decision.call;
    budget.noteRequest(service);
    const limitMs = Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
    const deadlineMs = startedMs + limitMs;
    if (route.isStream && !mayEndInTime()) {
      return refuse(request, response, LEAVING);
    }
    const requestKey = getRequestKey({
      ...request,
      account: decision.call.account?.name,
      body: taken.body,
    });
    const call: Call = { ...taken, ...decision.call, requestKey, deadlineMs };
    if (route.isStream) {
      context.rates.noteAsked(service);
      await serveStreamCall(call, context);
    } else await servePlainCall(call, context);
  }

  // A planned stop ends what still runs, and a stream that it cuts is lost to
  // callers that can't go on: one as long as others lately has to fit in.
  function mayEndInTime(): boolean {
    return !context.isLeaving() ||
      context.endRate.getLongestMs() < context.getGraceLeftMs();
  }

  async function untilStarted(taken: TakenRequest): Promise<void> {
    const hasStarted = () =>
      context.getTable() !== undefined && options.knowsEngines() &&
      lease.wasEverValid();
    const { response, startedMs } = taken;
    while (!hasStarted() && !options.isLastCall() && !response.destroyed) {
      if (now() - startedMs > START_WAIT_MS) return;
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
    answerRefusal(response, { codec, request, refusal, closes });
  }

  return { take, getInFlight: () => inFlight };
}
