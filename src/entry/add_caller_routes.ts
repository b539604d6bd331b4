/**
 * HTTP routes that an entry serves to callers.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { sendProblem } from "../http/index.ts";
import {
  type Metrics,
  REFUSAL_REASONS,
  type RefusalReason,
} from "../metrics/index.ts";
import type { ResourceState } from "../resources/index.ts";
import { rankEntries } from "../routing/index.ts";
import type { Agent } from "./create_agent.ts";
import type { RequestLog } from "./create_request_log.ts";
import type { StreamStore } from "./create_stream_store.ts";
import { getProblem } from "./entry_error.ts";
import {
  type AccountIndex,
  makeRefusal,
  readAccount,
  readService,
} from "./read_request.ts";
import type { PlainRequest } from "./serve_plain.ts";
import { writeStream } from "./write_answer.ts";

/** Handles one request, or throws a `RequestProblemError`. */
type RequestHandler<Request> = (
  request: Request,
  reply: FastifyReply,
) => Promise<FastifyReply> | FastifyReply;

/** Options of {@link addCallerRoutes}. */
export interface AddCallerRoutesOptions {
  readonly server: FastifyInstance;
  readonly vm: string;
  readonly getState: () => ResourceState;
  readonly getAccounts: () => AccountIndex;
  readonly agent: Agent;
  readonly servePlain: RequestHandler<PlainRequest>;
  readonly serveCompletion: RequestHandler<FastifyRequest>;
  readonly streams: StreamStore;
  readonly requests: RequestLog;
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
  /** Time, in ms, for which callers may cache the list of entries. */
  readonly entriesTtlMs: number;
  readonly metrics: Metrics;
}

type EntriesRequest = FastifyRequest<{
  Querystring: { service?: string; place?: string };
}>;

type RequestById = FastifyRequest<{ Params: { id: string } }>;

/**
 * Adds the routes for callers to a server.
 *
 * @param options - The server, the request handlers and their state.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * addCallerRoutes(options);
 */
export function addCallerRoutes(options: AddCallerRoutesOptions): void {
  const { server, metrics, agent } = options;
  // Bodies are not parsed: an upstream gets the bytes that the caller sent.
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    "*",
    { parseAs: "buffer" },
    (_request, body, done) => done(null, body),
  );

  server.get("/healthz", () => ({ ok: true }));
  server.get("/readyz", (_request, reply) => {
    const ready = options.isReady();
    return reply.code(ready ? 200 : 503).send({ ready });
  });
  server.get("/v1/counters", () => metrics.getCounters());
  server.get("/v1/entries", handleProblems(listEntries));
  server.get("/v1/requests/:id", handleProblems(getTrace));
  server.get("/v1/completions/:id", handleProblems(resume));
  server.post("/v1/completions", handleProblems(options.serveCompletion));
  server.post("/v1/chat/completions", handleProblems(options.serveCompletion));
  server.all("/services/:service/*", handleProblems(options.servePlain));

  // Sends the problem document of an error thrown by a handler.
  function handleProblems<Request extends FastifyRequest>(
    serve: RequestHandler<Request>,
  ) {
    return async (request: FastifyRequest, reply: FastifyReply) => {
      try {
        return await serve(request as Request, reply);
      } catch (error) {
        const problem = getProblem(error);
        if (!problem) throw error;
        if (problem.outcome === "not_run") countRefusal(problem.reason);
        return reply.raw.headersSent ? reply : sendProblem(reply, problem);
      }
    };
  }

  function countRefusal(reason: string): void {
    // Admission and claims count their own refusals.
    if (COUNTED_ELSEWHERE.has(reason)) return;
    if (reason in REFUSAL_REASONS) {
      metrics.countRefusal(reason as RefusalReason);
    }
  }

  function listEntries(
    request: EntriesRequest,
    reply: FastifyReply,
  ): FastifyReply {
    const account = readAccount(request, options.getAccounts());
    const { service = "", place } = request.query;
    readService(service, { state: options.getState() });
    const live = agent.getLive().entries.filter((entry) =>
      !(entry.vm === options.vm && options.isLeaving())
    );
    const entries = rankEntries(live, {
      service,
      clientAccount: account.name,
      place,
    }).map((entry) => ({
      vm: entry.vm,
      place: entry.place,
      address: entry.address,
    }));
    return reply.send({ entries, ttlMs: options.entriesTtlMs });
  }

  function getTrace(request: RequestById, reply: FastifyReply): FastifyReply {
    const account = readAccount(request, options.getAccounts());
    const trace = options.requests.find(request.params.id);
    const owned = trace && trace.clientAccount === account.name;
    if (!owned) throw makeRefusal("not_found", { status: 404 });
    return reply.send(trace);
  }

  async function resume(
    request: RequestById,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const account = readAccount(request, options.getAccounts());
    const { id } = request.params;
    const stream = options.streams.find(id);
    if (stream?.clientAccount === account.name) {
      const lastId = Number(request.headers["last-event-id"] ?? 0) || 0;
      await writeStream(reply, { stream, lastId });
      return reply;
    }
    const streamOwner = agent.getLive().entries.find((entry) =>
      entry.vm !== options.vm && id.startsWith(`${entry.vm}-`)
    );
    if (!streamOwner) throw makeRefusal("not_resumable", { status: 410 });
    return reply.redirect(`${streamOwner.address}/v1/completions/${id}`, 307);
  }
}

const COUNTED_ELSEWHERE: ReadonlySet<string> = new Set([
  "rate_limited",
  "too_many_in_flight",
  "queue_full",
  "deadline_too_near",
  "claim_running",
  "claim_unknown",
  "claim_mismatch",
  "no_quorum",
]);
