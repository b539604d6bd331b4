/**
 * The wire format to model engines: steps of a layer range, release, orders.
 * Nothing else in the system knows it.
 *
 * @module
 */

import { type Static, Type } from "typebox";
import { Compile } from "typebox/compile";
import { readBackOffMs } from "../http/index.ts";
import type { StepOrder, StepOutput } from "../pipeline/index.ts";
import type { DispatchFailure } from "../retry/index.ts";
import { saidNotRun, type UpstreamClient } from "./create_upstream_client.ts";
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

/** What a stage is asked, beside the order itself. */
export interface StageCall {
  readonly address: string;
  readonly requestId: string;
  readonly order: StepOrder;
  /** The prompt and the tokens given so far, for the first stage's prefill. */
  readonly prompt?: {
    readonly text: string;
    readonly tokens: readonly number[];
  };
  /** The caller's own parameters, as they came, for a prefill. */
  readonly parameters?: Readonly<Record<string, unknown>>;
  readonly priority: number;
  readonly timeoutMs: number;
}

/**
 * Runs one step at a stage.
 *
 * @param client - The client for upstreams.
 * @param call - The step.
 * @returns Its output.
 * @throws {DispatchError} Where the call failed, or the stage refused the step.
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
  const text = await readText(answer.body, address);
  if (answer.status !== 200) {
    throw refusal(address, {
      phase: "answering",
      fault: "upstream_said",
      status: answer.status,
      saidNotRun: saidNotRun(answer),
      backOffMs: readBackOffMs(answer),
    });
  }
  return parseAnswer(text, address);
}

async function readText(
  body: { text(): Promise<string> },
  address: string,
): Promise<string> {
  try {
    return await body.text();
  } catch (cause) {
    const failure: DispatchFailure = { phase: "answering", fault: "reset" };
    throw new DispatchError(`The answer of ${address} was cut`, {
      cause,
      props: { failure },
    });
  }
}

function parseAnswer(text: string, address: string): StepOutput {
  const value = parseJson(text);
  if (!StepAnswer.Check(value)) {
    throw refusal(address, { phase: "answering", fault: "upstream_said" });
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

function refusal(address: string, failure: DispatchFailure): Error {
  const status = failure.status ?? "no sense";
  return new DispatchError(`Stage ${address} answered ${status}`, {
    props: { failure },
  });
}

/**
 * Tells a stage that a request's epoch is over, so that it frees its cache; one that
 * asked for a back-off is told too, for it gains room by it.
 * A stage that does not hear it frees the cache by its own time limit.
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
    });
    await answer.body.dump();
  } catch {
    // The stage is gone, and its cache with it.
  }
}

/** Time, in ms, for the answer to a release. */
const RELEASE_TIMEOUT_MS = 1_000;
