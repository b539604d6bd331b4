/**
 * HTTP calls to model engines: steps of a layer range, and the release of caches.
 * Only this folder knows the wire format.
 *
 * @module
 */

import { type Static, Type } from "typebox";
import { Compile } from "typebox/compile";
import type { Readable } from "node:stream";
import {
  readBackOffMs,
  readLimitedBody,
  TimeLimitError,
} from "../http/index.ts";
import type { StepOrder, StepOutput } from "../pipeline/index.ts";
import type { DispatchFailure } from "../retry/index.ts";
import {
  reportsNotRun,
  type UpstreamClient,
} from "./create_upstream_client.ts";
import { DispatchError } from "./upstream_error.ts";

const StepAnswerSchema = Type.Object({
  hidden: Type.Optional(Type.String()),
  token: Type.Optional(Type.Object({
    id: Type.Integer(),
    text: Type.String(),
    last: Type.Boolean(),
  })),
});

const StepAnswer = Compile(StepAnswerSchema);

/** Largest answer to a step, in bytes. */
const MAX_ANSWER_BYTES = 16_777_216;

/** A step to run at a stage. */
export interface StageCall {
  readonly address: string;
  readonly requestId: string;
  readonly order: StepOrder;
  /** Prompt and tokens generated so far, for the prefill at the first stage. */
  readonly prompt?: {
    readonly text: string;
    readonly tokens: readonly number[];
  };
  /** Parameters of the caller's request, passed through unchanged with a prefill. */
  readonly parameters?: Readonly<Record<string, unknown>>;
  readonly priority: number;
  /** Time limit for the head of the answer, and again for its body, in ms. */
  readonly timeoutMs: number;
}

/**
 * Runs one step at a stage.
 *
 * @param client - The client for upstreams.
 * @param call - The step.
 * @returns The output of the step.
 * @throws {DispatchError} If the call failed or the stage rejected the step.
 * @example
 * const output = await callStage(client, call);
 */
export async function callStage(
  client: UpstreamClient,
  call: StageCall,
): Promise<StepOutput> {
  const { address, requestId, order, prompt, parameters, priority } = call;
  const answer = await client.call({
    address,
    method: "POST",
    path: "/v1/steps",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      requestId,
      epoch: order.epoch,
      position: order.position,
      layers: order.stage.layers,
      prefill: order.prefill,
      hidden: order.hidden,
      previousToken: order.previousToken,
      prompt: order.stageIndex === 0 && order.prefill ? prompt : undefined,
      parameters: order.prefill ? parameters : undefined,
      priority,
    }),
    timeoutMs: call.timeoutMs,
  });
  const text = await readText(answer.body, call);
  if (answer.status !== 200) {
    throw createRefusalError(address, {
      phase: "answering",
      fault: "upstream_said",
      status: answer.status,
      reportedNotRun: reportsNotRun(answer),
      backOffMs: readBackOffMs(answer),
    });
  }
  return parseAnswer(text, address);
}

async function readText(
  body: Readable,
  { address, timeoutMs }: StageCall,
): Promise<string> {
  try {
    const options = { maxBytes: MAX_ANSWER_BYTES, timeoutMs };
    return (await readLimitedBody(body, options)).toString("utf8");
  } catch (cause) {
    const fault = cause instanceof TimeLimitError ? "timeout" : "reset";
    const failure: DispatchFailure = { phase: "answering", fault };
    throw new DispatchError(`Response of ${address} was interrupted`, {
      cause,
      props: { failure },
    });
  }
}

function parseAnswer(text: string, address: string): StepOutput {
  const value = parseJson(text);
  if (!StepAnswer.Check(value)) {
    throw createRefusalError(address, {
      phase: "answering",
      fault: "upstream_said",
    });
  }
  return value as Static<typeof StepAnswerSchema>;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function createRefusalError(address: string, failure: DispatchFailure): Error {
  const status = failure.status ?? "an invalid response body";
  return new DispatchError(`Stage ${address} returned ${status}`, {
    props: { failure },
  });
}

/**
 * Notifies a stage that a request's epoch has ended, so that it frees its cache.
 * Stages in a back-off are notified too, since this frees capacity there. A stage
 * that does not receive the call frees the cache after its own timeout.
 *
 * @param client - The client for upstreams.
 * @param call - The stage, the request and the epoch.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * await releaseStage(client, { address, requestId, epoch: 1 });
 */
export async function releaseStage(
  client: UpstreamClient,
  call: { address: string; requestId: string; epoch: number },
): Promise<void> {
  const { address, requestId, epoch } = call;
  try {
    const answer = await client.call({
      address,
      method: "POST",
      path: "/v1/release",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ requestId, epoch }),
      timeoutMs: RELEASE_TIMEOUT_MS,
      signal: AbortSignal.timeout(RELEASE_TIMEOUT_MS),
    });
    await answer.body.dump();
  } catch {
    // Best effort: a crashed stage has lost its cache, others free it by timeout.
  }
}

/** Timeout, in ms, for the response to a release. */
const RELEASE_TIMEOUT_MS = 1_000;
