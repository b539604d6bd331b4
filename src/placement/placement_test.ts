import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import {
  getFlowBound,
  getPlacementFlow,
  type PlacedEngine,
  type PlacementEngine,
  planPlacement,
  planRepairMove,
} from "./index.ts";

const LAYERS = 24;

function makeEngine(
  name: string,
  overrides: Partial<PlacementEngine> = {},
): PlacementEngine {
  return {
    name,
    layersPerS: 1_000,
    maxLayers: 8,
    linkTokensPerS: 1e6,
    ...overrides,
  };
}

test("without engines the flow is 0", () => {
  assert.is(planPlacement([], { layerCount: LAYERS }).flowPerS, 0);
});

test("the flow is 0 if the engines can't hold the model", () => {
  const engines = [makeEngine("a"), makeEngine("b")];
  assert.is(planPlacement(engines, { layerCount: LAYERS }).flowPerS, 0);
});

test("equal engines reach the bound", () => {
  const engines = Array.from({ length: 12 }, (_v, at) => makeEngine(`e${at}`));
  const plan = planPlacement(engines, { layerCount: LAYERS });
  assert.ok(plan.flowPerS >= 0.99 * plan.boundPerS);
});

test("a plan keeps to the flow bound and to memory and reports its actual flow", () => {
  const engine = fc.record({
    layersPerS: fc.integer({ min: 100, max: 9_000 }),
    maxLayers: fc.integer({ min: 1, max: 30 }),
    linkTokensPerS: fc.integer({ min: 10, max: 9_000 }),
  });
  fc.assert(
    fc.property(fc.array(engine, { maxLength: 25 }), (specs) => {
      const engines = specs.map((spec, at) => makeEngine(`e${at}`, spec));
      const plan = planPlacement(engines, { layerCount: LAYERS });
      const flow = getPlacementFlow(plan.assignments, {
        engines,
        layerCount: LAYERS,
      });
      const fits = plan.assignments.every(({ upstream, layers }) => {
        const held = engines.find(({ name }) => name === upstream);
        return layers.end - layers.start <= (held?.maxLayers ?? 0);
      });
      return fits && Math.abs(flow - plan.flowPerS) < 1e-6 &&
        flow <= getFlowBound(engines, LAYERS) + 1e-6;
    }),
    { seed: 3, numRuns: 200 },
  );
});

const STAGES = [{ start: 0, end: 12 }, { start: 12, end: 24 }];

function placeEngine(
  upstream: string,
  stage: number,
  ready = true,
): PlacedEngine {
  return { upstream, layers: STAGES[stage], ready };
}

const engines = ["a", "b", "c", "d", "e"].map((name) =>
  makeEngine(name, { maxLayers: 12 })
);
const options = { engines, layerCount: LAYERS, stages: STAGES, maxLoads: 1 };

test("a complete placement needs no repair", () => {
  const placed = [
    placeEngine("a", 0),
    placeEngine("b", 0),
    placeEngine("c", 1),
    placeEngine("d", 1),
    placeEngine("e", 1),
  ];
  assert.is(
    planRepairMove(placed, { ...options, targetShare: 0.8 }),
    undefined,
  );
});

test("a stage without engines gets an idle engine, or else one from another stage", () => {
  const idle = planRepairMove(
    [placeEngine("a", 0), placeEngine("b", 0)],
    options,
  );
  assert.equal(idle?.to, STAGES[1]);
  assert.is(idle?.from, undefined);
  const placedAll = [
    placeEngine("a", 0),
    placeEngine("b", 0),
    placeEngine("c", 0),
    placeEngine("d", 0),
  ];
  const donated = planRepairMove(placedAll, {
    ...options,
    engines: engines.slice(0, 4),
  });
  assert.equal(donated?.from, STAGES[0]);
  assert.equal(donated?.to, STAGES[1]);
});

test("no move starts while the maximum number of loads is running", () => {
  const placed = [placeEngine("a", 0), placeEngine("b", 1, false)];
  assert.is(planRepairMove(placed, options), undefined);
});

test("a second failure during a repair is handled from the current placement", () => {
  const placed = [
    placeEngine("a", 0),
    placeEngine("b", 0),
    placeEngine("c", 1, false),
  ];
  const remaining = engines.filter(({ name }) => name !== "c");
  const move = planRepairMove(placed, { ...options, engines: remaining });
  assert.equal(move?.to, STAGES[1]);
});

test.run();
