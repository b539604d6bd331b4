/**
 * Tracks requests in flight: their ids, options, traces and metrics.
 *
 * @module
 */

import type { FastifyReply, FastifyRequest } from "fastify";
import type { Logger } from "../logs/index.ts";
import type { Metrics, RefusalReason } from "../metrics/index.ts";
import { HEADERS, type Outcome, type Resource } from "../model/index.ts";
import { abortOnDisconnect } from "./abort_on_disconnect.ts";
import type { ActiveTrace, RequestLog } from "./create_request_log.ts";
import { getProblem } from "./entry_error.ts";
import {
  type AccountIndex,
  makeRefusal,
  readAccount,
  readRequestOptions,
} from "./read_request.ts";
import type { RequestContext } from "./request_context.ts";

/** A request in flight. */
export interface ActiveRequest {
  readonly context: RequestContext;
  readonly trace: ActiveTrace;
}

/** Tracks requests in flight. */
export interface RequestTracker {
  /** Starts tracking; throws a {@link RequestProblemError} if it is refused. */
  open(
    request: FastifyRequest,
    params: { service: Resource<"service">; signal: AbortSignal },
  ): ActiveRequest;
  close(active: ActiveRequest, outcome: Outcome): void;
  /** Tracks a request while it is served, and records its outcome. */
  track(
    request: FastifyRequest,
    reply: FastifyReply,
    params: {
      service: Resource<"service">;
      serve: (active: ActiveRequest) => Promise<Outcome>;
    },
  ): Promise<FastifyReply>;
  getInFlight(): number;
}

/** Options of {@link createRequestTracker}. */
export interface CreateRequestTrackerOptions {
  readonly vm: string;
  readonly getAccounts: () => AccountIndex;
  readonly requests: RequestLog;
  /** Gets the reason for refusing new requests, if there is one. */
  readonly findRefusalReason: () => RefusalReason | undefined;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/**
 * Creates a request tracker.
 *
 * @param options - The entry's VM, client accounts, logs and metrics.
 * @returns The tracker.
 * @throws Nothing.
 * @example
 * const tracker = createRequestTracker(options);
 */
export function createRequestTracker(
  options: CreateRequestTrackerOptions,
): RequestTracker {
  const { log, metrics, now } = options;
  // The start time keeps ids unique across restarts of an entry.
  const idPrefix = `${options.vm}-${Date.now().toString(36)}`;
  let inFlight = 0;
  let nextRequest = 1;

  function open(
    request: FastifyRequest,
    params: { service: Resource<"service">; signal: AbortSignal },
  ): ActiveRequest {
    const { service, signal } = params;
    const account = readAccount(request, options.getAccounts());
    const closed = options.findRefusalReason();
    if (closed) throw makeRefusal(closed, { status: 503, retryAfterS: 1 });
    const { timeoutMs, ...requestOptions } = readRequestOptions(
      request,
      service,
    );
    const requestId = `${idPrefix}-${nextRequest++}`;
    const startedMs = now();
    const trace = options.requests.open({
      requestId,
      service: service.name,
      clientAccount: account.name,
    });
    const context: RequestContext = {
      ...requestOptions,
      requestId,
      account,
      service,
      startedMs,
      deadlineMs: startedMs + timeoutMs,
      signal,
      addStep: trace.addStep,
    };
    inFlight += 1;
    metrics.count("requests.started");
    return { context, trace };
  }

  function close(active: ActiveRequest, outcome: Outcome): void {
    const { requestId, service, startedMs } = active.context;
    inFlight -= 1;
    metrics.count(`requests.${outcome}`);
    metrics.timing("requests.duration_ms", now() - startedMs);
    active.trace.end(outcome);
    log("requestEnded", { requestId, service: service.name, outcome });
  }

  async function track(
    request: FastifyRequest,
    reply: FastifyReply,
    params: Parameters<RequestTracker["track"]>[2],
  ): Promise<FastifyReply> {
    const { service, serve } = params;
    const signal = abortOnDisconnect(reply);
    const active = open(request, { service, signal });
    reply.header(HEADERS.requestId, active.context.requestId);
    let outcome: Outcome = "unknown";
    try {
      outcome = await serve(active);
      return reply;
    } catch (error) {
      outcome = getProblem(error)?.outcome ?? "unknown";
      throw error;
    } finally {
      if (signal.aborted) metrics.count("requests.caller_gone");
      close(active, outcome);
    }
  }

  return { open, close, track, getInFlight: () => inFlight };
}
