/**
 * Serves completions, streamed and not streamed.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { FastifyReply, FastifyRequest } from "fastify";
import { formatProblem, INTERNAL_PROBLEM } from "../http/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { Resource } from "../model/index.ts";
import { getResourceKey, type ResourceState } from "../resources/index.ts";
import type { Admission } from "./create_admission.ts";
import type { Agent } from "./create_agent.ts";
import type {
  ActiveRequest,
  RequestTracker,
} from "./create_request_tracker.ts";
import type { AnswerStream, StreamStore } from "./create_stream_store.ts";
import { getProblem, RequestProblemError } from "./entry_error.ts";
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
} from "./read_request.ts";
import {
  type ClaimedAnswer,
  type ClaimedResult,
  needsClaim,
  runClaimed,
} from "./run_claimed.ts";
import type { ModelRunner } from "./run_model_request.ts";
import { writeStream, writeWholeAnswer } from "./write_answer.ts";

/** Options of {@link createCompletionServer}. */
export interface CreateCompletionServerOptions {
  readonly getState: () => ResourceState;
  readonly getAccounts: () => AccountIndex;
  readonly tracker: RequestTracker;
  readonly admission: Admission;
  readonly agent: Agent;
  readonly runner: ModelRunner;
  readonly streams: StreamStore;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** A completion request to serve. */
interface CompletionRun {
  readonly reply: FastifyReply;
  readonly call: CompletionCall;
  readonly service: Resource<"service">;
  readonly layerCount: number;
}

/**
 * Creates a handler for completion requests.
 *
 * @param options - Admission, claims, streams and the request runner.
 * @returns A handler that answers one request.
 * @throws Nothing; the handler throws a {@link RequestProblemError}.
 * @example
 * const serveCompletion = createCompletionServer(options);
 */
export function createCompletionServer(options: CreateCompletionServerOptions) {
  const { tracker, admission, agent, runner, streams } = options;
  const { log, metrics, now } = options;

  async function serve(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    // The key is checked first, so that unknown callers can't probe for services.
    readAccount(request, options.getAccounts());
    const call = readCompletionCall(request.body as Buffer | undefined);
    const state = options.getState();
    const service = readService(call.service, { state, type: "model" });
    const { layerCount } = findModel(service, state).spec;
    const run = { reply, call, service, layerCount };
    return call.stream
      ? await serveStream(request, run)
      : await serveWhole(request, run);
  }

  async function serveWhole(
    request: FastifyRequest,
    run: CompletionRun,
  ): Promise<FastifyReply> {
    const { reply, service } = run;
    return await tracker.track(request, reply, {
      service,
      serve: async (active) => {
        const result = await runCompletion(active, {
          ...run,
          onToken: () => {},
        });
        writeWholeAnswer(reply, result);
        return result.answer.outcome;
      },
    });
  }

  // Admits the request, claims its idempotency key if needed, and runs the pipeline.
  async function runCompletion(
    active: ActiveRequest,
    run: CompletionRun & { onToken: (text: string) => void },
  ): Promise<ClaimedResult> {
    const { context } = active;
    await using _slot = await admission.admit(context);
    const runOnce = () => runPipeline(active, run);
    if (!needsClaim(context)) {
      return { answer: await runOnce(), replayed: false };
    }
    return await runClaimed(context, {
      agent,
      now,
      requestHash: hashText(JSON.stringify(run.call)),
      countRefusal: metrics.countRefusal,
      run: runOnce,
    });
  }

  async function runPipeline(
    active: ActiveRequest,
    run: CompletionRun & { onToken: (text: string) => void },
  ): Promise<ClaimedAnswer> {
    const { context } = active;
    const { call, layerCount, onToken } = run;
    const { requestId, startedMs } = context;
    const answer = await runner.run(context, {
      ...call,
      layerCount,
      onToken(token, position) {
        if (position === 0) {
          metrics.timing("requests.first_token_ms", now() - startedMs);
        }
        onToken(token.text);
      },
    });
    return {
      outcome: "done",
      status: 200,
      contentType: "application/json",
      body: formatCompletion(answer, { requestId, call }),
    };
  }

  async function serveStream(
    request: FastifyRequest,
    run: CompletionRun,
  ): Promise<FastifyReply> {
    const { reply, call, service } = run;
    // The request outlives its first connection: it is aborted by its stream, which
    // has a grace period for reconnecting.
    const abort = new AbortController();
    const active = tracker.open(request, { service, signal: abort.signal });
    const { requestId, account } = active.context;
    const stream = streams.open({ requestId, clientAccount: account.name });
    stream.signal.addEventListener("abort", () => abort.abort());
    const onToken = (text: string) =>
      stream.push({
        name: "",
        data: formatTokenEvent({ requestId, call, text }),
      });
    const running = runCompletion(active, { ...run, onToken }).then(
      (result) => finish(active, { stream, result }),
      (error) => fail(active, { stream, error }),
    );
    const refused = await Promise.race([running, stream.begun]);
    // Nothing was sent yet, so the error is answered with a problem document.
    if (refused) throw refused;
    await writeStream(reply, { stream, lastId: 0 });
    return reply;
  }

  function finish(
    active: ActiveRequest,
    end: { stream: AnswerStream; result: ClaimedResult },
  ): undefined {
    const { stream, result } = end;
    const { outcome, body } = result.answer;
    if (result.replayed) stream.push({ name: "replay", data: body });
    stream.push({ name: "outcome", data: JSON.stringify({ outcome }) });
    stream.push({ name: "", data: "[DONE]" });
    stream.end();
    tracker.close(active, outcome);
  }

  function fail(
    active: ActiveRequest,
    failed: { stream: AnswerStream; error: unknown },
  ): Error | undefined {
    const { stream, error } = failed;
    const { requestId, signal } = active.context;
    const problem = getProblem(error) ?? INTERNAL_PROBLEM;
    if (signal.aborted) metrics.count("requests.caller_gone");
    else if (!getProblem(error)) log("internalError", { error });
    log("requestFailed", { requestId, reason: problem.reason });
    const started = stream.hasEvents();
    if (started) stream.push({ name: "problem", data: formatProblem(problem) });
    stream.end();
    tracker.close(active, problem.outcome);
    if (started) return undefined;
    return new RequestProblemError(problem.detail, { props: { problem } });
  }

  return serve;
}

function findModel(
  service: Resource<"service">,
  state: ResourceState,
): Resource<"model"> {
  const key = getResourceKey("model", service.spec.model ?? "");
  const model = state.resources.get(key) as Resource<"model"> | undefined;
  if (!model) throw makeRefusal("no_chain", { status: 503, retryAfterS: 1 });
  return model;
}

function hashText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
