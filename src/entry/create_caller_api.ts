/**
 * The callers' side of an entry.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { once } from "node:events";
import type { Readable } from "node:stream";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { formatProblem, sendProblem } from "../http/index.ts";
import type { Problem } from "../http/index.ts";
import type { Logger } from "../logs/index.ts";
import {
  type Metrics,
  REFUSAL_REASONS,
  type RefusalReason,
} from "../metrics/index.ts";
import { HEADERS, type Outcome, type Resource } from "../model/index.ts";
import { getResourceKey, type ResourceState } from "../resources/index.ts";
import { rankEntries } from "../routing/index.ts";
import type { Admission } from "./create_admission.ts";
import type { Agent } from "./create_agent.ts";
import type { OpenTrace, RequestLog } from "./create_request_log.ts";
import type { AnswerStream, StreamStore } from "./create_stream_store.ts";
import { RequestProblemError } from "./entry_error.ts";
import {
  type CompletionCall,
  formatCompletion,
  formatTokenEvent,
  readCompletionCall,
} from "./format_completion.ts";
import {
  type AccountIndex,
  makeRefusal,
  readAccount,
  readService,
  readTerms,
} from "./read_request.ts";
import type { RequestContext } from "./request_context.ts";
import { type ClaimedAnswer, runClaimed } from "./run_claimed.ts";
import type { ModelRunner } from "./run_model_request.ts";
import type {
  PlainAnswer,
  PlainCall,
  PlainRunner,
} from "./run_plain_request.ts";

/** What the callers' side needs of its program. */
export interface CreateCallerApiOptions {
  readonly server: FastifyInstance;
  readonly vm: string;
  readonly getState: () => ResourceState;
  readonly getAccounts: () => AccountIndex;
  readonly agent: Agent;
  readonly admission: Admission;
  readonly plain: PlainRunner;
  readonly models: ModelRunner;
  readonly streams: StreamStore;
  readonly requests: RequestLog;
  /** Why no new request is taken now, if so. */
  readonly findClosedReason: () => RefusalReason | undefined;
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
  /** Time, in ms, for which callers may keep the list of entries. */
  readonly entriesTtlMs: number;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** The callers' side. */
export interface CallerApi {
  getInFlight(): number;
}

/** Headers of one connection, which are not passed on. */
const HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "content-length",
  "expect",
  "authorization",
]);

/** A request that is being served. */
interface OpenRequest {
  readonly context: RequestContext;
  readonly trace: OpenTrace;
}

/**
 * Adds the callers' side to a server.
 *
 * @param options - The server and all that serves requests.
 * @returns What the program asks of it.
 * @throws Nothing.
 * @example
 * const callers = createCallerApi(options);
 */
export function createCallerApi(options: CreateCallerApiOptions): CallerApi {
  const { server, metrics, log, now, agent } = options;
  let inFlight = 0;
  let nextRequest = 1;
  const prefix = `${options.vm}-${Date.now().toString(36)}`;

  server.addContentTypeParser(
    "*",
    { parseAs: "buffer" },
    (_request, body, done) => done(null, body),
  );
  server.removeContentTypeParser(["application/json", "text/plain"]);

  server.get("/healthz", () => ({ ok: true }));
  server.get("/readyz", (_request, reply) => {
    if (!options.isReady()) reply.code(503);
    return { ready: options.isReady() };
  });
  server.get("/v1/counters", () => metrics.getCounters());
  server.get<{ Querystring: { service?: string; place?: string } }>(
    "/v1/entries",
    (request, reply) => guard(reply, () => listEntries(request, reply)),
  );
  server.get<{ Params: { id: string } }>(
    "/v1/requests/:id",
    (request, reply) => guard(reply, () => explain(request, reply)),
  );
  server.get<{ Params: { id: string } }>(
    "/v1/completions/:id",
    (request, reply) => guard(reply, () => resume(request, reply)),
  );
  server.post(
    "/v1/completions",
    (request, reply) => guard(reply, () => complete(request, reply)),
  );
  server.post(
    "/v1/chat/completions",
    (request, reply) => guard(reply, () => complete(request, reply)),
  );
  server.all<{ Params: { service: string } }>(
    "/services/:service/*",
    (request, reply) => guard(reply, () => servePlain(request, reply)),
  );

  async function guard(
    reply: FastifyReply,
    serve: () => Promise<FastifyReply> | FastifyReply,
  ): Promise<FastifyReply> {
    try {
      return await serve();
    } catch (error) {
      return sendFailure(reply, error);
    }
  }

  function sendFailure(reply: FastifyReply, error: unknown): FastifyReply {
    const problem = getProblem(error);
    if (!problem) throw error;
    if (problem.outcome === "not_run") countOwnRefusal(problem.reason);
    if (reply.raw.headersSent) return reply;
    return sendProblem(reply, problem);
  }

  function countOwnRefusal(reason: string): void {
    // Admission and claims count theirs where they arise.
    if (COUNTED_ELSEWHERE.has(reason)) return;
    if (reason in REFUSAL_REASONS) {
      metrics.countRefusal(reason as RefusalReason);
    }
  }

  function listEntries(
    request: FastifyRequest<{
      Querystring: { service?: string; place?: string };
    }>,
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
    }).map(({ vm, place, address }) => ({ vm, place, address }));
    return reply.send({ entries, ttlMs: options.entriesTtlMs });
  }

  function explain(
    request: FastifyRequest<{ Params: { id: string } }>,
    reply: FastifyReply,
  ): FastifyReply {
    const account = readAccount(request, options.getAccounts());
    const trace = options.requests.find(request.params.id);
    const owned = trace && trace.clientAccount === account.name;
    if (!owned) throw makeRefusal("not_found", { status: 404 });
    return reply.send(trace);
  }

  function openRequest(
    request: FastifyRequest,
    given: { service: Resource<"service">; signal: AbortSignal },
  ): OpenRequest {
    const { service, signal } = given;
    const account = readAccount(request, options.getAccounts());
    const closed = options.findClosedReason();
    if (closed) throw makeRefusal(closed, { status: 503, retryAfterS: 1 });
    const terms = readTerms(request, service);
    const requestId = `${prefix}-${nextRequest++}`;
    const startedMs = now();
    const trace = options.requests.open({
      requestId,
      service: service.name,
      clientAccount: account.name,
    });
    const { repeatable, idempotencyKey, priority, timeoutMs } = terms;
    const context: RequestContext = {
      requestId,
      account,
      service,
      repeatable,
      idempotencyKey,
      priority,
      startedMs,
      deadlineMs: startedMs + timeoutMs,
      signal,
      note: trace.note,
    };
    inFlight += 1;
    metrics.count("requests.started");
    return { context, trace };
  }

  function closeRequest(open: OpenRequest, outcome: Outcome): void {
    inFlight -= 1;
    metrics.count(`requests.${outcome}`);
    metrics.timing("requests.duration_ms", now() - open.context.startedMs);
    open.trace.end(outcome);
    const { requestId, service } = open.context;
    log("requestEnded", { requestId, service: service.name, outcome });
  }

  async function servePlain(
    request: FastifyRequest<{ Params: { service: string } }>,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const service = readService(request.params.service, {
      state: options.getState(),
      type: "plain",
    });
    const gone = abortWhenGone(reply);
    const open = openRequest(request, { service, signal: gone });
    reply.header(HEADERS.requestId, open.context.requestId);
    const call = readPlainCall(request, service.name);
    let outcome: Outcome = "unknown";
    try {
      await using _slot = await options.admission.admit(open.context);
      const claimed = !open.context.repeatable &&
        open.context.idempotencyKey !== undefined;
      outcome = claimed
        ? await servePlainClaimed(open.context, { call, reply })
        : await servePlainOnce(open.context, { call, reply });
      return reply;
    } catch (error) {
      outcome = getProblem(error)?.outcome ?? "unknown";
      throw error;
    } finally {
      if (gone.aborted) metrics.count("requests.caller_gone");
      closeRequest(open, outcome);
    }
  }

  async function servePlainOnce(
    context: RequestContext,
    given: { call: PlainCall; reply: FastifyReply },
  ): Promise<Outcome> {
    const { call, reply } = given;
    const answer = await options.plain.run(context, call);
    copyHead(answer, reply);
    if (!Buffer.isBuffer(answer.body)) {
      return await passStream(answer.body, { answer, reply });
    }
    reply.header(HEADERS.outcome, answer.outcome);
    reply.send(answer.body);
    return answer.outcome;
  }

  async function servePlainClaimed(
    context: RequestContext,
    given: { call: PlainCall; reply: FastifyReply },
  ): Promise<Outcome> {
    const { call, reply } = given;
    const { answer, replayed } = await runClaimed(context, {
      agent,
      now,
      requestHash: hashCall(call),
      countRefusal: metrics.countRefusal,
      run: async () => toClaimed(await options.plain.run(context, call)),
    });
    sendClaimed(reply, { answer, replayed });
    return answer.outcome;
  }

  async function complete(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    // The key goes first: a stranger learns nothing of services.
    readAccount(request, options.getAccounts());
    const call = readCompletionCall(request.body as Buffer | undefined);
    const state = options.getState();
    const service = readService(call.service, { state, type: "model" });
    const model = state.resources.get(
      getResourceKey("model", service.spec.model ?? ""),
    ) as Resource<"model"> | undefined;
    if (!model) throw makeRefusal("no_chain", { status: 503, retryAfterS: 1 });
    const { layerCount } = model.spec;
    return call.stream
      ? await streamCompletion(request, { reply, call, service, layerCount })
      : await wholeCompletion(request, { reply, call, service, layerCount });
  }

  interface CompletionRun {
    readonly reply: FastifyReply;
    readonly call: CompletionCall;
    readonly service: Resource<"service">;
    readonly layerCount: number;
  }

  async function wholeCompletion(
    request: FastifyRequest,
    run: CompletionRun,
  ): Promise<FastifyReply> {
    const { reply, service } = run;
    const signal = abortWhenGone(reply);
    const open = openRequest(request, { service, signal });
    reply.header(HEADERS.requestId, open.context.requestId);
    let outcome: Outcome = "unknown";
    try {
      const result = await runCompletion(open, { ...run, onToken: () => {} });
      outcome = result.answer.outcome;
      sendClaimed(reply, result);
      return reply;
    } catch (error) {
      outcome = getProblem(error)?.outcome ?? "unknown";
      throw error;
    } finally {
      closeRequest(open, outcome);
    }
  }

  // Admission, the claim where one is needed, then the pipeline.
  async function runCompletion(
    open: OpenRequest,
    run: CompletionRun & { onToken: (text: string) => void },
  ): Promise<{ answer: ClaimedAnswer; replayed: boolean }> {
    const { context } = open;
    const { startedMs } = context;
    const { call, layerCount, onToken } = run;
    await using _slot = await options.admission.admit(context);
    let first = true;
    const runOnce = async (): Promise<ClaimedAnswer> => {
      const answer = await options.models.run(context, {
        ...call,
        layerCount,
        onToken: (token) => {
          if (first) {
            metrics.timing("requests.first_token_ms", now() - startedMs);
          }
          first = false;
          onToken(token.text);
        },
      });
      const body = formatCompletion(answer, {
        requestId: context.requestId,
        call,
      });
      return {
        outcome: "done",
        status: 200,
        contentType: "application/json",
        body,
      };
    };
    const claimed = !context.repeatable && context.idempotencyKey !== undefined;
    if (!claimed) return { answer: await runOnce(), replayed: false };
    return await runClaimed(context, {
      agent,
      now,
      requestHash: hashText(JSON.stringify(call)),
      countRefusal: metrics.countRefusal,
      run: runOnce,
    });
  }

  async function streamCompletion(
    request: FastifyRequest,
    run: CompletionRun,
  ): Promise<FastifyReply> {
    const { reply, call, service } = run;
    const account = readAccount(request, options.getAccounts());
    const link = new AbortController();
    const open = openRequest(request, { service, signal: link.signal });
    const { requestId } = open.context;
    const stream = options.streams.open({
      requestId,
      clientAccount: account.name,
    });
    stream.signal.addEventListener("abort", () => link.abort());
    const onToken = (text: string) =>
      stream.push({
        name: "",
        data: formatTokenEvent({ requestId, call, text }),
      });
    const running = runCompletion(open, { ...run, onToken }).then(
      ({ answer, replayed }) => {
        if (replayed) stream.push({ name: "replay", data: answer.body });
        finish(open, { stream, outcome: answer.outcome });
      },
      (error) => fail(open, { stream, error }),
    );
    const refused = await Promise.race([running, stream.begun]);
    if (refused) {
      // Nothing was sent yet: the refusal is a plain problem document.
      return sendFailure(reply, refused.error);
    }
    await writeStream(reply, { stream, lastId: 0 });
    return reply;
  }

  function finish(
    open: OpenRequest,
    end: { stream: AnswerStream; outcome: Outcome },
  ): undefined {
    const { stream, outcome } = end;
    stream.push({ name: "outcome", data: JSON.stringify({ outcome }) });
    stream.push({ name: "", data: "[DONE]" });
    stream.end();
    closeRequest(open, outcome);
  }

  function fail(
    open: OpenRequest,
    failed: { stream: AnswerStream; error: unknown },
  ): { error: unknown } | undefined {
    const { stream, error } = failed;
    const problem = getProblem(error) ?? INTERNAL_PROBLEM;
    const gone = open.context.signal.aborted;
    if (gone) metrics.count("requests.caller_gone");
    else if (!getProblem(error)) log("internalError", { error });
    const { requestId } = open.context;
    log("requestFailed", { requestId, reason: problem.reason });
    const begun = stream.hasEvents();
    if (begun) stream.push({ name: "problem", data: formatProblem(problem) });
    stream.end();
    closeRequest(open, problem.outcome);
    const refusal = new RequestProblemError(problem.detail, {
      props: { problem },
    });
    return begun ? undefined : { error: refusal };
  }

  async function resume(
    request: FastifyRequest<{ Params: { id: string } }>,
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

  return { getInFlight: () => inFlight };
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

const INTERNAL_PROBLEM: Problem = {
  status: 500,
  reason: "internal",
  detail: "Unexpected error",
  outcome: "unknown",
};

function getProblem(error: unknown): Problem | undefined {
  if (!(error instanceof RequestProblemError)) return undefined;
  return (error as { problem?: Problem }).problem;
}

function abortWhenGone(reply: FastifyReply): AbortSignal {
  const abort = new AbortController();
  reply.raw.once("close", () => {
    if (!reply.raw.writableFinished) abort.abort();
  });
  return abort.signal;
}

function readPlainCall(request: FastifyRequest, service: string): PlainCall {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value === undefined || HOP_HEADERS.has(name)) continue;
    headers[name] = value;
  }
  const path = request.url.slice(`/services/${service}`.length);
  const body = request.body as Buffer | undefined;
  return {
    method: request.method,
    path: path.startsWith("/") ? path : `/${path}`,
    headers,
    body: body && body.length > 0 ? body : undefined,
  };
}

function copyHead(answer: PlainAnswer, reply: FastifyReply): void {
  reply.code(answer.status).header(HEADERS.path, answer.upstream);
  for (const [name, value] of Object.entries(answer.headers)) {
    if (value === undefined || HOP_HEADERS.has(name)) continue;
    reply.header(name, value);
  }
}

// The end of a long answer is not known at its head: it goes in the trailer.
async function passStream(
  body: Readable,
  given: { answer: PlainAnswer; reply: FastifyReply },
): Promise<Outcome> {
  const { reply, answer } = given;
  const { raw } = reply;
  reply.hijack();
  const headers = reply.getHeaders() as Record<string, string>;
  raw.writeHead(answer.status, { ...headers, trailer: HEADERS.outcome });
  try {
    for await (const chunk of body) {
      if (!raw.write(chunk)) await drained(raw);
    }
    raw.addTrailers({ [HEADERS.outcome]: answer.outcome });
    raw.end();
    return answer.outcome;
  } catch {
    raw.destroy();
    return "unknown";
  }
}

async function drained(raw: FastifyReply["raw"]): Promise<void> {
  if (raw.destroyed) throw new Error("The caller went away");
  await Promise.race([once(raw, "drain"), once(raw, "close")]);
}

function toClaimed(answer: PlainAnswer): Promise<ClaimedAnswer> {
  return readWhole(answer.body).then((body) => ({
    outcome: answer.outcome,
    status: answer.status,
    contentType: String(answer.headers["content-type"] ?? ""),
    body,
  }));
}

async function readWhole(body: Buffer | Readable): Promise<string> {
  if (Buffer.isBuffer(body)) return body.toString("utf8");
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

function sendClaimed(
  reply: FastifyReply,
  result: { answer: ClaimedAnswer; replayed: boolean },
): void {
  const { outcome, status, contentType, body } = result.answer;
  reply.code(status === 0 ? 200 : status).header(HEADERS.outcome, outcome);
  if (contentType !== "") reply.type(contentType);
  if (result.replayed) reply.header("crowlever-replayed", "true");
  reply.send(body);
}

function hashCall(call: PlainCall): string {
  return createHash("sha256")
    .update(`${call.method} ${call.path}\n`)
    .update(call.body ?? "")
    .digest("hex");
}

function hashText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

async function writeStream(
  reply: FastifyReply,
  from: { stream: AnswerStream; lastId: number },
): Promise<void> {
  const { stream, lastId } = from;
  const { raw } = reply;
  reply.hijack();
  raw.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
    [HEADERS.requestId]: stream.requestId,
    trailer: HEADERS.outcome,
  });
  const gone = new AbortController();
  raw.once("close", () => gone.abort());
  for await (const event of stream.read(lastId, gone.signal)) {
    const { id, name, data } = event;
    const head = name === "" ? `id: ${id}\n` : `id: ${id}\nevent: ${name}\n`;
    if (name === "outcome" || name === "problem") {
      const { outcome } = JSON.parse(data) as { outcome: Outcome };
      raw.addTrailers({ [HEADERS.outcome]: outcome });
    }
    if (!raw.write(`${head}data: ${data}\n\n`)) await drained(raw);
    if (raw.destroyed) return;
  }
  raw.end();
}
