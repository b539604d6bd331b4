/**
 * The callers' side of an entry: its routes.
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

/** Answers one request, or throws a `RequestProblemError`. */
type Serve<Request> = (
  request: Request,
  reply: FastifyReply,
) => Promise<FastifyReply> | FastifyReply;

/** What the callers' side needs of its program. */
export interface AddCallerRoutesOptions {
  readonly server: FastifyInstance;
  readonly vm: string;
  readonly getState: () => ResourceState;
  readonly getAccounts: () => AccountIndex;
  readonly agent: Agent;
  readonly servePlain: Serve<PlainRequest>;
  readonly serveCompletion: Serve<FastifyRequest>;
  readonly streams: StreamStore;
  readonly requests: RequestLog;
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
  /** Time, in ms, for which callers may keep the list of entries. */
  readonly entriesTtlMs: number;
  readonly metrics: Metrics;
}

type EntriesRequest = FastifyRequest<{
  Querystring: { service?: string; place?: string };
}>;

type RequestById = FastifyRequest<{ Params: { id: string } }>;

/**
 * Adds the callers' routes to a server.
 *
 * @param options - The server and all that serves requests.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * addCallerRoutes(options);
 */
export function addCallerRoutes(options: AddCallerRoutesOptions): void {
  const { server, metrics, agent } = options;
  // Bodies are read as they are: an upstream gets what the caller sent.
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
  server.get("/v1/entries", guard(listEntries));
  server.get("/v1/requests/:id", guard(explain));
  server.get("/v1/completions/:id", guard(resume));
  server.post("/v1/completions", guard(options.serveCompletion));
  server.post("/v1/chat/completions", guard(options.serveCompletion));
  server.all("/services/:service/*", guard(options.servePlain));

  // Turns a problem that a handler throws into its document.
  function guard<Request extends FastifyRequest>(serve: Serve<Request>) {
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
    // Admission and claims count theirs where they arise.
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

  function explain(request: RequestById, reply: FastifyReply): FastifyReply {
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
    const holder = agent.getLive().entries.find((entry) =>
      entry.vm !== options.vm && id.startsWith(`${entry.vm}-`)
    );
    if (!holder) throw makeRefusal("not_resumable", { status: 410 });
    return reply.redirect(`${holder.address}/v1/completions/${id}`, 307);
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
