/**
 * A small fleet with stand-ins that several tests share.
 *
 * @module
 */

import { request } from "undici";
import { applyTrial, type NamedEntry } from "../../demo/apply_trial.ts";
import type { DeclaredResource } from "../../src/cli/index.ts";
import type { PoolSpec } from "../../src/model/index.ts";
import { type Fleet, launchFleet } from "../../demo/launch_fleet.ts";
import {
  ACCOUNT_KEY,
  getTrialResources,
  LAYER_COUNT,
} from "../../demo/trial_resources.ts";
import {
  computeAnswer,
  type Engine,
  type PlainService,
  type Platform,
  startEngine,
  startPlainService,
  startPlatform,
} from "../../standins/index.ts";

/** A fleet with its stand-ins. */
export interface Trial extends AsyncDisposable {
  readonly fleet: Fleet;
  readonly entries: readonly NamedEntry[];
  /** Two engines for each of three stages. */
  readonly engines: readonly (readonly Engine[])[];
  readonly plain: readonly PlainService[];
  readonly platform: Platform;
}

/** What an entry answered. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly trailers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** Starts a fleet with stand-ins and declares its resources. */
export async function startTrial(
  options: { stepMs?: number; entries?: number; controls?: number } = {},
): Promise<Trial> {
  const { stepMs = 0, entries = 2, controls = 1 } = options;
  const platform = await startPlatform();
  const engines = await Promise.all(
    [0, 1, 2].map(() =>
      Promise.all(
        [0, 1].map(() => startEngine({ layerCount: LAYER_COUNT, stepMs })),
      )
    ),
  );
  const plain = await Promise.all([0, 1].map(() => startPlainService()));
  const fleet = await launchFleet({
    controls,
    entries,
    platformListUrl: platform.address,
  });
  const resources = getTrialResources({
    stages: engines.map((stage) => stage.map((engine) => engine.address)),
    plain: plain.map((service) => service.address),
  });
  for (const upstream of listUpstreams(resources)) {
    platform.set(upstream.vm, "live");
  }
  const trial = await applyTrial(fleet, resources, { service: "drafting" });
  return {
    fleet,
    entries: trial.entries,
    engines,
    plain,
    platform,
    async [Symbol.asyncDispose]() {
      await fleet[Symbol.asyncDispose]();
      const all = [...engines.flat(), ...plain, platform];
      await Promise.all(all.map((one) => one[Symbol.asyncDispose]()));
    },
  };
}

function listUpstreams(resources: readonly DeclaredResource[]) {
  return resources.flatMap(({ kind, spec }) =>
    kind === "pool" ? (spec as PoolSpec).upstreams : []
  );
}

/** Sends a request to an entry. */
export async function send(
  url: string,
  options: {
    method?: "GET" | "POST";
    body?: string;
    headers?: Record<string, string>;
  } = {},
): Promise<Answer> {
  const { method = "GET", body, headers = {} } = options;
  const response = await request(url, {
    method,
    headers: { authorization: `Bearer ${ACCOUNT_KEY}`, ...headers },
    body,
  });
  const text = await response.body.text();
  const { statusCode: status, trailers } = response;
  return { status, headers: response.headers, trailers, text };
}

/** Asks for a completion. */
export function complete(
  address: string,
  options: { prompt: string; tokens: number; stream?: boolean },
): Promise<Answer> {
  const { prompt, tokens, stream = false } = options;
  return send(`${address}/v1/completions`, {
    method: "POST",
    body: JSON.stringify({
      model: "drafting",
      prompt,
      max_tokens: tokens,
      stream,
    }),
  });
}

/** Text of a completion, whole or streamed. */
export function readText(answer: Answer): string {
  return [...answer.text.matchAll(/"text":"([^"]*)"/g)]
    .map((match) => match[1])
    .join("");
}

/** The text that must come. */
export function expectText(prompt: string, tokens: number): string {
  return computeAnswer(prompt, { layerCount: LAYER_COUNT, tokens });
}

/** Counters of an entry, by name. */
export async function readCounters(
  address: string,
): Promise<Record<string, number>> {
  const response = await request(`${address}/v1/counters`);
  return await response.body.json() as Record<string, number>;
}
