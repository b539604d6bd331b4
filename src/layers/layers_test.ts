import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findGaps } from "./find_gaps.ts";
import { findLayerPath, type PathEngine } from "./find_layer_path.ts";
import { designCopies } from "./design_copies.ts";
import { createWindowChooser, makeCover } from "./layer_cover.ts";
import { planLayerOrders } from "./plan_layer_orders.ts";
import {
  findTokensInFlight,
  getLayerCapacity,
  getTokenCapacity,
} from "./token_capacity.ts";
import type { LayerEngine, LayerOrder } from "./types.ts";

const PROFILE = {
  layers: 80,
  layerMb: 1_750,
  kvTokenBytes: 845_373,
  slots: 134,
  usualPromptTokens: 772,
  usualAnswerTokens: 172,
  stepMs: 0.85,
  requestStepMs: 0.005,
  contextStepMs: 0.000_007,
};

const MEMORY_MB = [72_000, 36_000, 21_600, 14_400];

// Step factors of cards by their memory in MB.
const STEP_FACTORS = new Map([
  [72_000, 1.4],
  [36_000, 3.1],
  [21_600, 16],
  [14_400, 15],
]);

function makeCard(memoryMb: number) {
  return { memoryMb, stepFactor: STEP_FACTORS.get(memoryMb) ?? 1 };
}

function makeEngines(
  count: number,
  options: { place?: string; memoryMb?: number } = {},
): LayerEngine[] {
  const { place = "p", memoryMb } = options;
  return Array.from({ length: count }, (_, at) => ({
    engineId: `${place}${at}`,
    place,
    ...makeCard(memoryMb ?? MEMORY_MB[at % MEMORY_MB.length]),
  }));
}

test("a design covers every layer and fits every engine", () => {
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(...MEMORY_MB), { maxLength: 60 }),
      (memories) => {
        const engines = memories.map((memoryMb, at) => ({
          engineId: String(at),
          ...makeCard(memoryMb),
        }));
        const copies = designCopies(engines, PROFILE);
        const fits = memories
          .reduce((sum, mb) => sum + Math.floor(mb / PROFILE.layerMb), 0);
        if (fits < PROFILE.layers) return copies.length === 0;
        const orders = copies.flatMap((copy) => copy.orders);
        for (const { engineId, fromLayer, toLayer } of orders) {
          const mb = (toLayer - fromLayer) * PROFILE.layerMb;
          assert.ok(mb <= memories[Number(engineId)]);
        }
        const ids = new Set(orders.map(({ engineId }) => engineId));
        assert.is(ids.size, orders.length);
        for (const copy of copies) assert.equal(findGaps(copy.orders, 80), []);
        return copies.length > 0;
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});

// Cards of a data centre whose fast cards can hold nearly a complete model.
const MIXED_CARDS = [
  { memoryMb: 72_000, stepFactor: 2.4, count: 1 },
  { memoryMb: 14_400, stepFactor: 5.3, count: 10 },
  { memoryMb: 21_600, stepFactor: 16, count: 4 },
];

function makeMixedEngines(): LayerEngine[] {
  return MIXED_CARDS.flatMap(({ count, ...card }, kind) =>
    Array.from({ length: count }, (_, at) => ({
      engineId: `${kind}-${at}`,
      place: "a",
      ...card,
    }))
  );
}

function getMeanStepFactor(engines: readonly LayerEngine[]): number {
  const held = engines.flatMap(({ range, stepFactor }) =>
    range ? [{ ...range, stepFactor }] : []
  );
  const fastest = makeCover(held, 80).map(([factor = Infinity]) => factor);
  return fastest.reduce((sum, factor) => sum + factor, 0) / 80;
}

test("fast cards hold as many layers as fit; slow ones hold the rest and second copies", () => {
  const engines = applyPlan(makeMixedEngines());
  const meanFactor = getMeanStepFactor(engines);
  // With memory for the same number of tokens on all engines it is 7.25
  // (`npm run measure -- layers`).
  assert.ok(meanFactor < 5.1, String(meanFactor));
  const holders = countHolders(engines);
  const heldTwice = holders.filter((count) => count > 1).length;
  assert.ok(heldTwice >= 20, String(heldTwice));
});

test("windows cover layers without a holder first, then layers that only slow cards hold", () => {
  const parameters = { layers: 8, copies: 1, missingFactor: 160 };
  const cover = makeCover([
    { fromLayer: 0, toLayer: 2, stepFactor: 2 },
    { fromLayer: 2, toLayer: 6, stepFactor: 16 },
  ], 8);
  const engine = { stepFactor: 5, layerCapacity: 2 };
  const chosen = createWindowChooser(cover, parameters).choose(engine);
  assert.is(chosen?.fromLayer, 6);
  const filled = makeCover([
    { fromLayer: 0, toLayer: 2, stepFactor: 2 },
    { fromLayer: 2, toLayer: 6, stepFactor: 16 },
    { fromLayer: 6, toLayer: 8, stepFactor: 2 },
  ], 8);
  const chooser = createWindowChooser(filled, parameters);
  assert.is(chooser.choose(engine)?.fromLayer, 2);
  assert.is(chooser.choose({ ...engine, layerCapacity: 0 }), undefined);
  chooser.add({ fromLayer: 2, toLayer: 4, stepFactor: 5 });
  assert.is(chooser.choose(engine)?.fromLayer, 4);
});

test("each data centre holds a copy; those with too little memory share one", () => {
  const engines = [
    ...makeEngines(12, { place: "a" }),
    ...makeEngines(4, { place: "b", memoryMb: 21_600 }),
    ...makeEngines(4, { place: "c", memoryMb: 21_600 }),
  ];
  const orders = planLayerOrders(engines, {
    profile: PROFILE,
    mayRedistribute: () => true,
  });
  const inA = orders.filter(({ engineId }) => engineId.startsWith("a"));
  const inOthers = orders.filter(({ engineId }) => !engineId.startsWith("a"));
  assert.equal(findGaps(inA, 80), []);
  assert.equal(findGaps(inOthers, 80), []);
});

function applyPlan(engines: readonly LayerEngine[]): LayerEngine[] {
  const orders = planLayerOrders(engines, {
    profile: PROFILE,
    mayRedistribute: () => true,
  });
  return engines.map((engine) => ({
    ...engine,
    range: orders.find(({ engineId }) => engineId === engine.engineId),
  }));
}

test("a complete placement needs no orders", () => {
  const engines = applyPlan(makeEngines(12));
  const options = { profile: PROFILE, mayRedistribute: () => true };
  assert.equal(planLayerOrders(engines, options), []);
});

function applyOrders(
  engines: readonly LayerEngine[],
  orders: readonly LayerOrder[],
): LayerEngine[] {
  return engines.map((engine) => ({
    ...engine,
    range: orders.find(({ engineId }) => engineId === engine.engineId) ??
      engine.range,
  }));
}

// Replaces a failed engine by one without layers under another id and plans the orders.
function planReplacement(engines: readonly LayerEngine[], failed: LayerEngine) {
  const replacement = { ...failed, engineId: "new", range: undefined };
  const remaining = [
    ...engines.filter((engine) => engine !== failed),
    replacement,
  ];
  const orders = planLayerOrders(remaining, {
    profile: PROFILE,
    mayRedistribute: () => false,
  });
  return { remaining, orders };
}

test("a replacement engine restores the mean step factor", () => {
  const engines = applyPlan(makeMixedEngines());
  for (const failed of engines) {
    const { remaining, orders } = planReplacement(engines, failed);
    assert.equal(orders.map(({ engineId }) => engineId), ["new"]);
    const after = getMeanStepFactor(applyOrders(remaining, orders));
    assert.ok(
      after <= getMeanStepFactor(engines) + 1e-9,
      `${failed.engineId} ${after}`,
    );
  }
});

test("one plan restores the layers of any failed engine", () => {
  const engines = applyPlan(makeMixedEngines());
  for (const failed of engines) {
    const remaining = engines.filter((engine) => engine !== failed);
    const orders = planLayerOrders(remaining, {
      profile: PROFILE,
      mayRedistribute: () => true,
    });
    assert.equal(
      findGaps(applyOrders(remaining, orders).map(getRange), 80),
      [],
    );
  }
});

test("a redundant engine takes over missing layers without opening another gap", () => {
  const engines = applyPlan(makeMixedEngines());
  const small = engines.filter(({ engineId }) => engineId.startsWith("1-"));
  for (const failed of small) {
    const remaining = engines.filter((engine) => engine !== failed);
    const orders = planLayerOrders(remaining, {
      profile: PROFILE,
      mayRedistribute: () => false,
    });
    assert.ok(orders.length <= 1);
    assert.equal(
      findGaps(applyOrders(remaining, orders).map(getRange), 80),
      [],
    );
    // Engines that moved gave up only layers that have other holders.
    const moved = new Set(orders.map(({ engineId }) => engineId));
    const staying = remaining.filter(({ engineId }) => !moved.has(engineId));
    assert.equal(
      findGaps(staying.map(getRange), 80),
      findGaps(remaining.map(getRange), 80),
    );
  }
});

function getRange({ range }: LayerEngine) {
  return range ?? { fromLayer: 0, toLayer: 0 };
}

test("an engine gives up layers only if another one has loaded them", () => {
  const [first, ...others] = applyPlan(makeMixedEngines());
  const remaining = others.map((engine) => ({ ...engine, isLoading: true }));
  const options = { profile: PROFILE, mayRedistribute: () => false };
  assert.is(first.range?.fromLayer, 0);
  assert.equal(planLayerOrders(remaining, options), []);
});

// Just enough engines to hold one copy, without redundant ones.
function makeMinimalGroup(place = "p"): LayerEngine[] {
  return [
    ...makeEngines(4, { place, memoryMb: 36_000 }),
    ...makeEngines(2, { place: `${place}x`, memoryMb: 14_400 }),
  ].map((engine) => ({ ...engine, place }));
}

test("a group without redundant engines is redistributed to fill a gap when allowed", () => {
  const engines = applyPlan(makeMinimalGroup());
  const remaining = engines.filter((_engine, at) => at !== 5);
  const options = { profile: PROFILE, mayRedistribute: () => false };
  assert.equal(planLayerOrders(remaining, options), []);
  const orders = planLayerOrders(remaining, {
    ...options,
    mayRedistribute: () => true,
  });
  assert.equal(findGaps(applyOrders(remaining, orders).map(getRange), 80), []);
});

test("of two groups with gaps only one at a time is redistributed", () => {
  const engines = applyPlan([
    ...makeMinimalGroup("a"),
    ...makeMinimalGroup("b"),
  ]);
  const remaining = engines.filter(({ engineId }) =>
    !/^[ab]x1$/.test(engineId)
  );
  const options = { profile: PROFILE, mayRedistribute: () => true };
  const first = planLayerOrders(remaining, options);
  assert.ok(first.length > 0);
  assert.ok(first.every(({ engineId }) => engineId.startsWith("a")));
  const ordered = remaining.map((engine) => {
    const order = first.find(({ engineId }) => engineId === engine.engineId);
    return order ? { ...engine, range: order, isLoading: true } : engine;
  });
  assert.equal(planLayerOrders(ordered, options), []);
  const done = ordered.map((engine) => ({ ...engine, isLoading: false }));
  const second = planLayerOrders(done, options);
  assert.ok(second.length > 0);
  assert.ok(second.every(({ engineId }) => engineId.startsWith("b")));
});

test("a group that alone holds some layers is redistributed only as a last resort", () => {
  const engines = applyPlan([
    ...makeMinimalGroup("a"),
    ...makeMinimalGroup("b"),
  ]);
  // Each group has a gap, but paths that cross between the groups cover all layers.
  const findHolders = (place: string, layer: number) =>
    engines.filter((one) =>
      one.place === place && one.range &&
      one.range.fromLayer <= layer && one.range.toLayer > layer
    );
  const failed = new Set([...findHolders("a", 0), ...findHolders("b", 79)]);
  const remaining = engines.filter((engine) => !failed.has(engine));
  assert.equal(findGaps(remaining.map(getRange), 80), []);
  const reported: string[] = [];
  const orders = planLayerOrders(remaining, {
    profile: PROFILE,
    mayRedistribute(_place, { cover }) {
      reported.push(cover);
      return cover !== "lost";
    },
  });
  assert.equal(orders, []);
  assert.equal([...new Set(reported)], ["lost"]);
  const last = planLayerOrders(remaining, {
    profile: PROFILE,
    mayRedistribute: () => true,
  });
  assert.ok(last.length > 0);
});

test("the redistribution rule receives whether the other groups cover all layers", () => {
  const engines = applyPlan([
    ...makeMinimalGroup("a"),
    ...makeMinimalGroup("b"),
  ]);
  const reported: string[] = [];
  const options = {
    profile: PROFILE,
    mayRedistribute(place: string, { cover }: { cover: string }) {
      reported.push(`${place} ${cover}`);
      return false;
    },
  };
  const withoutOne = engines.filter(({ engineId }) => engineId !== "ax1");
  planLayerOrders(withoutOne, options);
  assert.equal(reported, ["a others"]);
  reported.length = 0;
  planLayerOrders(
    withoutOne.filter(({ engineId }) => engineId !== "bx1"),
    options,
  );
  assert.equal(reported, ["a none", "b none"]);
});

// Engines of one data centre with 33 cards.
function makeLargeGroup(place = "a"): LayerEngine[] {
  const memories = [
    ...Array.from({ length: 4 }, () => 36_000),
    ...Array.from({ length: 11 }, () => 21_600),
    ...Array.from({ length: 18 }, () => 14_400),
  ];
  return memories.map((memoryMb, at) => ({
    engineId: `${place}${String(at).padStart(2, "0")}`,
    place,
    ...makeCard(memoryMb),
  }));
}

function countHolders(engines: readonly LayerEngine[]): number[] {
  return Array.from(
    { length: PROFILE.layers },
    (_, layer) =>
      engines.filter(({ range }) =>
        range && range.fromLayer <= layer && range.toLayer > layer
      ).length,
  );
}

test("a large group holds every layer at least twice and then needs no orders", () => {
  const engines = applyPlan(makeLargeGroup());
  const holders = countHolders(engines);
  assert.ok(Math.min(...holders) >= 2);
  assert.ok(engines.every(({ range }) => range !== undefined));
  const options = { profile: PROFILE, mayRedistribute: () => true };
  assert.equal(planLayerOrders(engines, options), []);
});

test("a replacement restores any failed engine of a large group", () => {
  const engines = applyPlan(makeLargeGroup());
  const minHolders = Math.min(...countHolders(engines));
  for (const failed of engines) {
    const { remaining, orders } = planReplacement(engines, failed);
    assert.equal(orders.map(({ engineId }) => engineId), ["new"]);
    const after = applyOrders(remaining, orders);
    assert.ok(Math.min(...countHolders(after)) >= minHolders);
    assert.ok(getMeanStepFactor(after) <= getMeanStepFactor(engines) + 1e-9);
  }
});

test("a failed engine of a large group causes no orders to the others", () => {
  const engines = applyPlan(makeLargeGroup());
  const remaining = engines.filter((_engine, at) => at !== 5);
  const orders = planLayerOrders(remaining, {
    profile: PROFILE,
    mayRedistribute: () => true,
  });
  assert.equal(orders, []);
  assert.ok(Math.min(...countHolders(remaining)) >= 1);
});

test("the tokens in flight are as many as the group has memory for", () => {
  const tokens = findTokensInFlight(makeEngines(12), PROFILE) ?? 0;
  assert.ok(tokens > 50_000, String(tokens));
  assert.is(findTokensInFlight(makeEngines(1), PROFILE), undefined);
});

test("layer and token capacities of an engine agree", () => {
  for (const memoryMb of MEMORY_MB) {
    const layerCount = getLayerCapacity(memoryMb, PROFILE, { tokens: 50_000 });
    const tokens = getTokenCapacity(memoryMb, PROFILE, { layerCount });
    assert.ok(tokens >= 50_000);
    assert.is(getLayerCapacity(memoryMb, PROFILE, { tokens }), layerCount);
  }
});

const OPTIONS = {
  layers: 80,
  place: "a",
  hopCost: 0.3,
  entryPlaceCost: 2,
  placeCost: 4,
  maxParts: 32,
};

function makePathEngine(
  engineId: string,
  range: readonly [number, number],
  fields: Partial<PathEngine> = {},
): PathEngine {
  const [fromLayer, toLayer] = range;
  return {
    engineId,
    place: "a",
    fromLayer,
    toLayer,
    layerCost: 0.1,
    firstCost: 0,
    ...fields,
  };
}

test("a path stays in the data centre where it can", () => {
  const path = findLayerPath([
    makePathEngine("a1", [0, 40]),
    makePathEngine("a2", [40, 80]),
    makePathEngine("b1", [0, 80], { place: "b", layerCost: 0.08 }),
  ], OPTIONS);
  assert.equal(path?.map(({ engineId }) => engineId), ["a1", "a2"]);
});

test("another data centre's complete copy is cheaper than two hops between data centres", () => {
  const path = findLayerPath([
    makePathEngine("a1", [0, 30]),
    makePathEngine("a3", [50, 80]),
    makePathEngine("b1", [0, 45], { place: "b" }),
    makePathEngine("b2", [45, 80], { place: "b" }),
  ], OPTIONS);
  assert.equal(path?.map(({ engineId }) => engineId), ["b1", "b2"]);
});

test("missing layers are filled with parts of another data centre's ranges", () => {
  const path = findLayerPath([
    makePathEngine("a1", [0, 30]),
    makePathEngine("a3", [50, 80]),
    makePathEngine("b1", [20, 45], { place: "b" }),
    makePathEngine("b2", [45, 65], { place: "b" }),
  ], OPTIONS);
  assert.equal(path?.map(({ engineId }) => engineId), ["a1", "b1", "b2", "a3"]);
  assert.equal(findGaps(path ?? [], 80), []);
});

test("a path can start at a later layer", () => {
  const path = findLayerPath(
    [makePathEngine("a2", [20, 60]), makePathEngine("a3", [50, 80])],
    { ...OPTIONS, fromLayer: 30 },
  );
  assert.is(path?.[0].fromLayer, 30);
  assert.is(path?.at(-1)?.toLayer, 80);
});

test("a path over random ranges runs every layer once and in order, each engine once", () => {
  const holder = fc.record({
    fromLayer: fc.integer({ min: 0, max: 79 }),
    size: fc.integer({ min: 1, max: 40 }),
    place: fc.constantFrom("a", "b"),
    layerCost: fc.constantFrom(0.01, 0.1, 1),
    firstCost: fc.constantFrom(undefined, 0, 5),
  });
  fc.assert(
    fc.property(fc.array(holder, { maxLength: 30 }), (holders) => {
      const engines = holders.map(({ size, ...fields }, at) => ({
        ...fields,
        engineId: String(at),
        toLayer: Math.min(80, fields.fromLayer + size),
      }));
      const path = findLayerPath(engines, OPTIONS);
      if (!path) return true;
      let next = 0;
      for (const part of path) {
        const engine = engines[Number(part.engineId)];
        assert.is(part.fromLayer, next);
        assert.ok(part.toLayer > part.fromLayer);
        assert.ok(engine.fromLayer <= part.fromLayer);
        assert.ok(engine.toLayer >= part.toLayer);
        next = part.toLayer;
      }
      assert.ok(engines[Number(path[0].engineId)].firstCost !== undefined);
      const ids = new Set(path.map(({ engineId }) => engineId));
      assert.is(ids.size, path.length);
      return next === 80;
    }),
    { seed: 1, numRuns: 400 },
  );
});

test.run();
