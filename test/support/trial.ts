/**
 * A small fleet of real processes with stand-ins, shared by several tests.
 *
 * @module
 */

import { request } from "undici";
import { applyTrial, type NamedEntry } from "../../demo/apply_trial.ts";
import { type Answer, send } from "../../demo/send_request.ts";
import type { DeclaredResource } from "../../src/cli/index.ts";
import type { PoolSpec } from "../../src/model/index.ts";
import { type Fleet, launchFleet } from "../../demo/launch_fleet.ts";
import { getTrialResources, LAYER_COUNT } from "../../demo/trial_resources.ts";
import {
  computeAnswer,
  type Engine,
  type PlainService,
  type Platform,
  startEngine,
  startPlainService,
  startPlatform,
} from "../../standins/index.ts";

export { type Answer, send };

/** A running fleet with its stand-ins. */
export interface Trial extends AsyncDisposable {
  readonly fleet: Fleet;
  readonly entries: readonly NamedEntry[];
  /** Engines: two for each of three stages. */
  readonly engines: readonly (readonly Engine[])[];
  readonly plain: readonly PlainService[];
  readonly platform: Platform;
}

/** Starts a fleet with stand-ins and applies its resources. */
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

/** Requests a completion. */
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

/** Returns the text of a completion, streamed or not. */
export function readText(answer: Answer): string {
  return [...answer.text.matchAll(/"text":"([^"]*)"/g)]
    .map((match) => match[1])
    .join("");
}

/** Computes the expected text of a completion. */
export function expectText(prompt: string, tokens: number): string {
  return computeAnswer(prompt, { layerCount: LAYER_COUNT, tokens });
}

/** Reads the counters of an entry, by name. */
export async function readCounters(
  address: string,
): Promise<Record<string, number>> {
  const response = await request(`${address}/v1/counters`);
  return await response.body.json() as Record<string, number>;
}
