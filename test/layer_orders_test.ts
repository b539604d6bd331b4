import { test } from "uvu";
import * as assert from "uvu/assert";
import { applyTrial } from "../demo/apply_trial.ts";
import { launchFleet } from "../demo/launch_fleet.ts";
import { getTrialResources, LAYER_COUNT } from "../demo/trial_resources.ts";
import { readStatus } from "../measure/failover_scenarios.ts";
import type { PlacementSpec, PoolSpec } from "../src/model/index.ts";
import { type Engine, startEngine, startPlatform } from "../standins/index.ts";
import { complete, expectText, readText } from "./support/trial.ts";

function hasRisingFences(engine: Engine): boolean {
  return engine.orders.every((order, at) => {
    const before = engine.orders[at - 1];
    if (!before) return true;
    const { term, sequence } = order.fence;
    return term > before.fence.term ||
      (term === before.fence.term && sequence > before.fence.sequence);
  });
}

// Half of the engines check fencing tokens and half do not: on none may an older order
// take effect after a newer one, leader changes included.
test("control places layers, replaces lost engines and never applies an older order", async () => {
  await using platform = await startPlatform();
  const engines = await Promise.all(
    Array.from({ length: 6 }, (_v, at) =>
      startEngine({
        layerCount: LAYER_COUNT,
        loadMs: 200,
        checksFences: at % 2 === 0,
      })),
  );
  await using fleet = await launchFleet({
    entries: 1,
    platformListUrl: platform.address,
  });
  const resources = getTrialResources({
    stages: [engines.map((engine) => engine.address)],
    plain: [],
  });
  const pool = resources.find(({ name }) => name === "engines");
  const { upstreams } = pool?.spec as PoolSpec;
  for (const [at, upstream] of upstreams.entries()) {
    platform.set(upstream.vm, "live");
    delete upstream.layers;
    upstream.memoryBytes = LAYER_COUNT / 2;
    upstream.capabilities = at % 2 === 0
      ? ["load-layers", "fence"]
      : ["load-layers"];
  }
  const { entries } = await applyTrial(fleet, resources, {
    service: "drafting",
  });
  const readPlacement = async () => {
    const { spec } = await fleet.operator.call<{ spec: PlacementSpec }>({
      path: "/v1/resources/placement/drafting-model",
    });
    return spec.assignments;
  };
  const answersCorrectly = async () => {
    const prompt = "Placed by control";
    const answer = await complete(entries[0].address, { prompt, tokens: 4 });
    return readText(answer) === expectText(prompt, 4);
  };
  await fleet.until(
    "the model is placed",
    async () => (await readPlacement()).every((one) => one.ready),
  );
  await fleet.until("the model answers", answersCorrectly);

  const { leader } = await readStatus(fleet);
  const process = fleet.controls.find((control) => control.name === leader);
  process?.kill("SIGKILL");
  const placed = await readPlacement();
  const stage = placed.filter((one) => one.layers.start === 0);
  const lost = stage.slice(0, 2).map((one) => one.upstream);
  for (const upstream of upstreams) {
    if (lost.includes(upstream.name)) platform.remove(upstream.vm);
  }
  process?.start();
  await fleet.until("other engines hold the lost layers", async () => {
    const now = await readPlacement();
    const moved = now.filter((one) =>
      one.layers.start === 0 && one.ready && !lost.includes(one.upstream)
    );
    return moved.length >= 2;
  });
  await fleet.until("the model answers again", answersCorrectly);
  for (const engine of engines) assert.ok(hasRisingFences(engine));
  for (const engine of engines) await engine[Symbol.asyncDispose]();
});

test.run();
