/**
 * Serves requests to plain services.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { Readable } from "node:stream";
import type { FastifyReply, FastifyRequest } from "fastify";
import { type Metrics, REFUSAL_REASONS } from "../metrics/index.ts";
import type { Outcome } from "../model/index.ts";
import type { ResourceState } from "../resources/index.ts";
import type { Admission } from "./create_admission.ts";
import type { Agent } from "./create_agent.ts";
import type { RequestTracker } from "./create_request_tracker.ts";
import { RequestProblemError } from "./entry_error.ts";
import { isHopByHopHeader } from "./hop_headers.ts";
import { readService } from "./read_request.ts";
import type { RequestContext } from "./request_context.ts";
import { type ClaimedAnswer, needsClaim, runClaimed } from "./run_claimed.ts";
import type {
  PlainAnswer,
  PlainCall,
  PlainRunner,
} from "./run_plain_request.ts";
import { writePlainAnswer, writeWholeAnswer } from "./write_answer.ts";

/** A request to a plain service. */
export type PlainRequest = FastifyRequest<{ Params: { service: string } }>;

/** Options of {@link createPlainServer}. */
export interface CreatePlainServerOptions {
  readonly getState: () => ResourceState;
  readonly tracker: RequestTracker;
  readonly admission: Admission;
  readonly agent: Agent;
  readonly runner: PlainRunner;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/**
 * Creates a handler for requests to plain services.
 *
 * @param options - Admission, claims and the request runner.
 * @returns A handler that answers one request.
 * @throws Nothing; the handler throws a {@link RequestProblemError}.
 * @example
 * const servePlain = createPlainServer(options);
 */
export function createPlainServer(options: CreatePlainServerOptions) {
  const { tracker, admission, agent, runner, metrics, now } = options;

  async function serve(
    request: PlainRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const service = readService(request.params.service, {
      state: options.getState(),
      type: "plain",
    });
    const call = readPlainCall(request, service.name);
    return await tracker.track(request, reply, {
      service,
      serve: async ({ context }) => {
        await using _slot = await admission.admit(context);
        return needsClaim(context)
          ? await serveClaimed(context, { call, reply })
          : await writePlainAnswer(reply, await runner.run(context, call));
      },
    });
  }

  async function serveClaimed(
    context: RequestContext,
    params: { call: PlainCall; reply: FastifyReply },
  ): Promise<Outcome> {
    const { call, reply } = params;
    const result = await runClaimed(context, {
      agent,
      now,
      requestHash: hashCall(call),
      countRefusal: metrics.countRefusal,
      run: async () => await toClaimedAnswer(await runner.run(context, call)),
    });
    writeWholeAnswer(reply, result);
    return result.answer.outcome;
  }

  return serve;
}

function readPlainCall(request: PlainRequest, service: string): PlainCall {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value === undefined || isHopByHopHeader(name)) continue;
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

async function toClaimedAnswer(answer: PlainAnswer): Promise<ClaimedAnswer> {
  return {
    outcome: answer.outcome,
    status: answer.status,
    contentType: String(answer.headers["content-type"] ?? ""),
    body: await readBody(answer.body),
  };
}

async function readBody(body: Buffer | Readable): Promise<string> {
  if (Buffer.isBuffer(body)) return body.toString("utf8");
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of body) chunks.push(chunk as Buffer);
  } catch (cause) {
    throw createBrokenAnswerError(cause);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function createBrokenAnswerError(cause: unknown): Error {
  const reason = "answer_broken";
  const detail = REFUSAL_REASONS[reason];
  const problem = { status: 502, reason, detail, outcome: "unknown" } as const;
  return new RequestProblemError(detail, { cause, props: { problem } });
}

function hashCall(call: PlainCall): string {
  return createHash("sha256")
    .update(`${call.method} ${call.path}\n`)
    .update(call.body ?? "")
    .digest("hex");
}
