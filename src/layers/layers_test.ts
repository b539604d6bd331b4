import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findGaps } from "./find_gaps.ts";
import { findLayerPath, type PathEngine } from "./find_layer_path.ts";
import {
  findTokensInFlight,
  getLayerRoom,
  getTokenRoom,
  planCopy,
} from "./plan_copy.ts";
import { groupCopies } from "./group_copies.ts";
import { planLayerOrders } from "./plan_layer_orders.ts";
import type { LayerEngine } from "./types.ts";

const FIGURES = {
  layers: 80,
  layerMb: 1_750,
  kvTokenBytes: 845_373,
  slots: 134,
  usualPromptTokens: 772,
  usualAnswerTokens: 172,
};

const MEMORY_MB = [72_000, 36_000, 21_600, 14_400];

function makeEngines(
  count: number,
  options: { place?: string; memoryMb?: number } = {},
): LayerEngine[] {
  const { place = "p", memoryMb } = options;
  return Array.from({ length: count }, (_, at) => ({
    engineId: `${place}${at}`,
    place,
    memoryMb: memoryMb ?? MEMORY_MB[at % MEMORY_MB.length],
  }));
}

function getMemoryMb(engines: readonly LayerEngine[], id: string): number {
  return engines.find(({ engineId }) => engineId === id)?.memoryMb ?? 0;
}

test("a copy covers every layer once and fits every engine", () => {
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(...MEMORY_MB), { maxLength: 60 }),
      (memories) => {
        const engines = memories.map((memoryMb, at) => ({
          engineId: String(at),
          place: "p",
          memoryMb,
        }));
        const orders = planCopy(engines, FIGURES);
        const fits = memories
          .reduce((sum, mb) => sum + Math.floor(mb / FIGURES.layerMb), 0);
        if (!orders) return fits < FIGURES.layers;
        let next = 0;
        for (const { engineId, fromLayer, toLayer } of orders) {
          assert.is(fromLayer, next);
          const mb = (toLayer - fromLayer) * FIGURES.layerMb;
          assert.ok(mb <= getMemoryMb(engines, engineId));
          next = toLayer;
        }
        return next === FIGURES.layers;
      },
    ),
    { seed: 1, numRuns: 300 },
  );
});

test("each data centre gets a copy; small ones share one", () => {
  const engines = [
    ...makeEngines(12, { place: "a" }),
    ...makeEngines(4, { place: "b", memoryMb: 21_600 }),
    ...makeEngines(4, { place: "c", memoryMb: 21_600 }),
  ];
  const orders = planLayerOrders(engines, {
    figures: FIGURES,
    mayRespread: () => true,
  });
  const inA = orders.filter(({ engineId }) => engineId.startsWith("a"));
  const inRest = orders.filter(({ engineId }) => !engineId.startsWith("a"));
  assert.equal(findGaps(inA, 80), []);
  assert.equal(findGaps(inRest, 80), []);
});

function holdPlan(engines: readonly LayerEngine[]): LayerEngine[] {
  const orders = planLayerOrders(engines, {
    figures: FIGURES,
    mayRespread: () => true,
  });
  return engines.map((engine) => ({
    ...engine,
    range: orders.find(({ engineId }) => engineId === engine.engineId),
  }));
}

test("what is in place is left alone", () => {
  const engines = holdPlan(makeEngines(12));
  const options = { figures: FIGURES, mayRespread: () => true };
  assert.equal(planLayerOrders(engines, options), []);
});

test("an empty engine takes the range of the one that was lost", () => {
  const engines = holdPlan(makeEngines(12));
  const lost = engines[5];
  const back = { ...lost, engineId: "new", range: undefined };
  const left = [...engines.filter((engine) => engine !== lost), back];
  const orders = planLayerOrders(left, {
    figures: FIGURES,
    mayRespread: () => false,
  });
  assert.equal(orders, [{
    engineId: "new",
    fromLayer: lost.range!.fromLayer,
    toLayer: lost.range!.toLayer,
  }]);
});

test("a gap without an empty engine is spread over the others when allowed", () => {
  const engines = holdPlan(makeEngines(12));
  const left = engines.filter((_engine, at) => at !== 5);
  const wait = { figures: FIGURES, mayRespread: () => false };
  assert.equal(planLayerOrders(left, wait), []);
  const orders = planLayerOrders(left, { ...wait, mayRespread: () => true });
  const ranges = left.map((engine) =>
    orders.find(({ engineId }) => engineId === engine.engineId) ??
      engine.range!
  );
  assert.equal(findGaps(ranges, 80), []);
});

test("of two copies with gaps one at a time is spread anew", () => {
  const engines = holdPlan([
    ...makeEngines(12, { place: "a" }),
    ...makeEngines(12, { place: "b" }),
  ]);
  const left = engines.filter(({ engineId }) => !/^[ab]5$/.test(engineId));
  const options = { figures: FIGURES, mayRespread: () => true };
  const first = planLayerOrders(left, options);
  assert.ok(first.length > 0);
  assert.ok(first.every(({ engineId }) => engineId.startsWith("a")));
  const ordered = left.map((engine) => {
    const order = first.find(({ engineId }) => engineId === engine.engineId);
    return order ? { ...engine, range: order, isLoading: true } : engine;
  });
  assert.equal(planLayerOrders(ordered, options), []);
  const done = ordered.map((engine) => ({ ...engine, isLoading: false }));
  const second = planLayerOrders(done, options);
  assert.ok(second.length > 0);
  assert.ok(second.every(({ engineId }) => engineId.startsWith("b")));
});

// The cards of one data centre with 33 engines.
function makeMany(place = "a"): LayerEngine[] {
  const memories = [
    ...Array.from({ length: 4 }, () => 36_000),
    ...Array.from({ length: 11 }, () => 21_600),
    ...Array.from({ length: 18 }, () => 14_400),
  ];
  return memories.map((memoryMb, at) => ({
    engineId: `${place}${String(at).padStart(2, "0")}`,
    place,
    memoryMb,
  }));
}

function countHolders(engines: readonly LayerEngine[]): number[] {
  return Array.from(
    { length: FIGURES.layers },
    (_, layer) =>
      engines.filter(({ range }) =>
        range && range.fromLayer <= layer && range.toLayer > layer
      ).length,
  );
}

test("many engines hold as many copies as run the most requests", () => {
  const engines = holdPlan(makeMany());
  const holders = countHolders(engines);
  assert.ok(Math.min(...holders) >= 2);
  assert.is(Math.min(...holders), Math.max(...holders));
  const { copies, spares } = groupCopies(engines, FIGURES);
  assert.is(copies.length, holders[0]);
  assert.ok(spares.every(({ range }) => range === undefined));
  for (const copy of copies) assert.ok(copy.length <= 32);
  const options = { figures: FIGURES, mayRespread: () => true };
  assert.equal(planLayerOrders(engines, options), []);
});

test("a copy whose ranges overlap is one copy without gaps", () => {
  // As many as hold one copy.
  const engines = holdPlan(makeEngines(6));
  const held = engines.filter(({ range }) => range !== undefined)
    .sort((a, b) => a.range!.fromLayer - b.range!.fromLayer);
  const overlapping = held.map((engine, at) => {
    const { fromLayer, toLayer } = engine.range!;
    return at === 3
      ? { ...engine, range: { fromLayer: fromLayer - 2, toLayer } }
      : engine;
  });
  assert.is(groupCopies(overlapping, FIGURES).copies.length, 1);
  const options = { figures: FIGURES, mayRespread: () => true };
  assert.equal(planLayerOrders(overlapping, options), []);
});

test("of many engines a lost one is replaced, whichever it is", () => {
  const engines = holdPlan(makeMany());
  for (const lost of engines) {
    const back = { ...lost, engineId: "new", range: undefined };
    const left = [...engines.filter((engine) => engine !== lost), back];
    const orders = planLayerOrders(left, {
      figures: FIGURES,
      mayRespread: () => false,
    });
    const after = left.map((engine) => ({
      ...engine,
      range: orders.find(({ engineId }) => engineId === engine.engineId) ??
        engine.range,
    }));
    assert.equal(countHolders(after), countHolders(engines));
    assert.ok(orders.length <= 3);
  }
});

test("of many engines a lost one's copy is spread anew, the others stay", () => {
  const engines = holdPlan(makeMany());
  const left = engines.filter((_engine, at) => at !== 5);
  const orders = planLayerOrders(left, {
    figures: FIGURES,
    mayRespread: () => true,
  });
  const after = left.map((engine) => ({
    ...engine,
    range: orders.find(({ engineId }) => engineId === engine.engineId) ??
      engine.range,
  }));
  assert.equal(countHolders(after), countHolders(engines));
  assert.ok(orders.length < left.length / 2);
});

test("room for tokens is as large as the group allows", () => {
  const tokens = findTokensInFlight(makeEngines(12), FIGURES) ?? 0;
  assert.ok(tokens > 50_000, String(tokens));
  assert.is(findTokensInFlight(makeEngines(1), FIGURES), undefined);
});

test("an engine has room for just the tokens for which its layers leave room", () => {
  for (const memoryMb of MEMORY_MB) {
    const layerCount = getLayerRoom(memoryMb, FIGURES, { tokens: 50_000 });
    const tokens = getTokenRoom(memoryMb, FIGURES, { layerCount });
    assert.ok(tokens >= 50_000);
    assert.is(getLayerRoom(memoryMb, FIGURES, { tokens }), layerCount);
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

function makeHolder(
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
    makeHolder("a1", [0, 40]),
    makeHolder("a2", [40, 80]),
    makeHolder("b1", [0, 80], { place: "b", layerCost: 0.08 }),
  ], OPTIONS);
  assert.equal(path?.map(({ engineId }) => engineId), ["a1", "a2"]);
});

test("another data centre's whole copy is better than two changes on the way", () => {
  const path = findLayerPath([
    makeHolder("a1", [0, 30]),
    makeHolder("a3", [50, 80]),
    makeHolder("b1", [0, 45], { place: "b" }),
    makeHolder("b2", [45, 80], { place: "b" }),
  ], OPTIONS);
  assert.equal(path?.map(({ engineId }) => engineId), ["b1", "b2"]);
});

test("a missing range is patched with parts of other data centres' ranges", () => {
  const path = findLayerPath([
    makeHolder("a1", [0, 30]),
    makeHolder("a3", [50, 80]),
    makeHolder("b1", [20, 45], { place: "b" }),
    makeHolder("b2", [45, 65], { place: "b" }),
  ], OPTIONS);
  assert.equal(path?.map(({ engineId }) => engineId), ["a1", "b1", "b2", "a3"]);
  assert.equal(findGaps(path ?? [], 80), []);
});

test("a path from a later layer on leaves the first ones out", () => {
  const path = findLayerPath(
    [makeHolder("a2", [20, 60]), makeHolder("a3", [50, 80])],
    { ...OPTIONS, fromLayer: 30 },
  );
  assert.is(path?.[0].fromLayer, 30);
  assert.is(path?.at(-1)?.toLayer, 80);
});

test("every path runs every layer once and in order, each engine once", () => {
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
