/**
 * Opens and closes requests: their ids, terms, traces and counts.
 *
 * @module
 */

import type { FastifyReply, FastifyRequest } from "fastify";
import type { Logger } from "../logs/index.ts";
import type { Metrics, RefusalReason } from "../metrics/index.ts";
import { HEADERS, type Outcome, type Resource } from "../model/index.ts";
import { abortWhenGone } from "./abort_when_gone.ts";
import type { OpenTrace, RequestLog } from "./create_request_log.ts";
import { getProblem } from "./entry_error.ts";
import {
  type AccountIndex,
  makeRefusal,
  readAccount,
  readTerms,
} from "./read_request.ts";
import type { RequestContext } from "./request_context.ts";

/** A request that is being served. */
export interface OpenRequest {
  readonly context: RequestContext;
  readonly trace: OpenTrace;
}

/** Opens and closes requests. */
export interface RequestTracker {
  /** Throws a {@link RequestProblemError} where it is refused. */
  open(
    request: FastifyRequest,
    given: { service: Resource<"service">; signal: AbortSignal },
  ): OpenRequest;
  close(open: OpenRequest, outcome: Outcome): void;
  /** Opens a request, serves it, and closes it with its outcome. */
  track(
    request: FastifyRequest,
    reply: FastifyReply,
    given: {
      service: Resource<"service">;
      serve: (open: OpenRequest) => Promise<Outcome>;
    },
  ): Promise<FastifyReply>;
  getInFlight(): number;
}

/** Options of {@link createRequestTracker}. */
export interface CreateRequestTrackerOptions {
  readonly vm: string;
  readonly getAccounts: () => AccountIndex;
  readonly requests: RequestLog;
  /** Why no new request is taken now, if so. */
  readonly findClosedReason: () => RefusalReason | undefined;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/**
 * Makes what opens and closes requests.
 *
 * @param options - The entry's name, the accounts, logs and metrics.
 * @returns The tracker.
 * @throws Nothing.
 * @example
 * const tracker = createRequestTracker(options);
 */
export function createRequestTracker(
  options: CreateRequestTrackerOptions,
): RequestTracker {
  const { log, metrics, now } = options;
  // Two starts of an entry give no id twice.
  const prefix = `${options.vm}-${Date.now().toString(36)}`;
  let inFlight = 0;
  let nextRequest = 1;

  function open(
    request: FastifyRequest,
    given: { service: Resource<"service">; signal: AbortSignal },
  ): OpenRequest {
    const { service, signal } = given;
    const account = readAccount(request, options.getAccounts());
    const closed = options.findClosedReason();
    if (closed) throw makeRefusal(closed, { status: 503, retryAfterS: 1 });
    const { timeoutMs, ...terms } = readTerms(request, service);
    const requestId = `${prefix}-${nextRequest++}`;
    const startedMs = now();
    const trace = options.requests.open({
      requestId,
      service: service.name,
      clientAccount: account.name,
    });
    const context: RequestContext = {
      ...terms,
      requestId,
      account,
      service,
      startedMs,
      deadlineMs: startedMs + timeoutMs,
      signal,
      note: trace.note,
    };
    inFlight += 1;
    metrics.count("requests.started");
    return { context, trace };
  }

  function close(opened: OpenRequest, outcome: Outcome): void {
    const { requestId, service, startedMs } = opened.context;
    inFlight -= 1;
    metrics.count(`requests.${outcome}`);
    metrics.timing("requests.duration_ms", now() - startedMs);
    opened.trace.end(outcome);
    log("requestEnded", { requestId, service: service.name, outcome });
  }

  async function track(
    request: FastifyRequest,
    reply: FastifyReply,
    given: Parameters<RequestTracker["track"]>[2],
  ): Promise<FastifyReply> {
    const { service, serve } = given;
    const signal = abortWhenGone(reply);
    const opened = open(request, { service, signal });
    reply.header(HEADERS.requestId, opened.context.requestId);
    let outcome: Outcome = "unknown";
    try {
      outcome = await serve(opened);
      return reply;
    } catch (error) {
      outcome = getProblem(error)?.outcome ?? "unknown";
      throw error;
    } finally {
      if (signal.aborted) metrics.count("requests.caller_gone");
      close(opened, outcome);
    }
  }

  return { open, close, track, getInFlight: () => inFlight };
}
