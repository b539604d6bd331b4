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
  getLayerRoom,
  getTokenRoom,
} from "./token_room.ts";
import type { LayerEngine, LayerOrder } from "./types.ts";

const FIGURES = {
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

// Step factors of cards by their memory.
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
        const copies = designCopies(engines, FIGURES);
        const fits = memories
          .reduce((sum, mb) => sum + Math.floor(mb / FIGURES.layerMb), 0);
        if (fits < FIGURES.layers) return copies.length === 0;
        const orders = copies.flatMap((copy) => copy.orders);
        for (const { engineId, fromLayer, toLayer } of orders) {
          const mb = (toLayer - fromLayer) * FIGURES.layerMb;
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

// The cards of a data centre where fast memory nearly holds a model.
const MIXED_CARDS = [
  { memoryMb: 72_000, stepFactor: 2.4, count: 1 },
  { memoryMb: 14_400, stepFactor: 5.3, count: 10 },
  { memoryMb: 21_600, stepFactor: 16, count: 4 },
];

function makeMixed(): LayerEngine[] {
  return MIXED_CARDS.flatMap(({ count, ...card }, kind) =>
    Array.from({ length: count }, (_, at) => ({
      engineId: `${kind}-${at}`,
      place: "a",
      ...card,
    }))
  );
}

function getPace(engines: readonly LayerEngine[]): number {
  const held = engines.flatMap(({ range, stepFactor }) =>
    range ? [{ ...range, stepFactor }] : []
  );
  const fastest = makeCover(held, 80).map(([factor = Infinity]) => factor);
  return fastest.reduce((sum, factor) => sum + factor, 0) / 80;
}

test("fast cards hold what they can, slow ones what is left and a second time", () => {
  const engines = holdPlan(makeMixed());
  const pace = getPace(engines);
  // Room for the same number of tokens everywhere gives 7.25 (`npm run measure
  // -- layers`).
  assert.ok(pace < 5.1, String(pace));
  const holders = countHolders(engines);
  const twice = holders.filter((count) => count > 1).length;
  assert.ok(twice >= 20, String(twice));
});

test("a window goes to what nobody holds, then to what only slow cards hold", () => {
  const figures = { layers: 8, copies: 1, missingFactor: 160 };
  const cover = makeCover([
    { fromLayer: 0, toLayer: 2, stepFactor: 2 },
    { fromLayer: 2, toLayer: 6, stepFactor: 16 },
  ], 8);
  const engine = { stepFactor: 5, room: 2 };
  const gap = createWindowChooser(cover, figures).choose(engine);
  assert.is(gap?.fromLayer, 6);
  const filled = makeCover([
    { fromLayer: 0, toLayer: 2, stepFactor: 2 },
    { fromLayer: 2, toLayer: 6, stepFactor: 16 },
    { fromLayer: 6, toLayer: 8, stepFactor: 2 },
  ], 8);
  const chooser = createWindowChooser(filled, figures);
  assert.is(chooser.choose(engine)?.fromLayer, 2);
  assert.is(chooser.choose({ ...engine, room: 0 }), undefined);
  chooser.add({ fromLayer: 2, toLayer: 4, stepFactor: 5 });
  assert.is(chooser.choose(engine)?.fromLayer, 4);
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

// What is ordered where a lost engine comes back empty, under another id.
function replaceEngine(engines: readonly LayerEngine[], lost: LayerEngine) {
  const back = { ...lost, engineId: "new", range: undefined };
  const left = [...engines.filter((engine) => engine !== lost), back];
  const orders = planLayerOrders(left, {
    figures: FIGURES,
    mayRespread: () => false,
  });
  return { left, orders };
}

test("an empty engine brings back the pace of the one that was lost", () => {
  const engines = holdPlan(makeMixed());
  for (const lost of engines) {
    const { left, orders } = replaceEngine(engines, lost);
    assert.equal(orders.map(({ engineId }) => engineId), ["new"]);
    const after = getPace(applyOrders(left, orders));
    assert.ok(after <= getPace(engines) + 1e-9, `${lost.engineId} ${after}`);
  }
});

test("whichever engine is lost, its layers are held again by one plan", () => {
  const engines = holdPlan(makeMixed());
  for (const lost of engines) {
    const left = engines.filter((engine) => engine !== lost);
    const orders = planLayerOrders(left, {
      figures: FIGURES,
      mayRespread: () => true,
    });
    assert.equal(findGaps(applyOrders(left, orders).map(getRange), 80), []);
  }
});

test("a spare engine takes lost layers without leaving others behind", () => {
  const engines = holdPlan(makeMixed());
  const small = engines.filter(({ engineId }) => engineId.startsWith("1-"));
  for (const lost of small) {
    const left = engines.filter((engine) => engine !== lost);
    const orders = planLayerOrders(left, {
      figures: FIGURES,
      mayRespread: () => false,
    });
    assert.ok(orders.length <= 1);
    assert.equal(findGaps(applyOrders(left, orders).map(getRange), 80), []);
    // Those that moved left no layer behind that nobody else holds.
    const moved = new Set(orders.map(({ engineId }) => engineId));
    const staying = left.filter(({ engineId }) => !moved.has(engineId));
    assert.equal(
      findGaps(staying.map(getRange), 80),
      findGaps(left.map(getRange), 80),
    );
  }
});

function getRange({ range }: LayerEngine) {
  return range ?? { fromLayer: 0, toLayer: 0 };
}

test("an engine gives its layers up only where another one is ready with them", () => {
  const [first, ...others] = holdPlan(makeMixed());
  const left = others.map((engine) => ({ ...engine, isLoading: true }));
  const options = { figures: FIGURES, mayRespread: () => false };
  assert.is(first.range?.fromLayer, 0);
  assert.equal(planLayerOrders(left, options), []);
});

// As many as hold one copy, without spare ones.
function makeFew(place = "p"): LayerEngine[] {
  return [
    ...makeEngines(4, { place, memoryMb: 36_000 }),
    ...makeEngines(2, { place: `${place}x`, memoryMb: 14_400 }),
  ].map((engine) => ({ ...engine, place }));
}

test("a gap without a spare engine is spread over the others when allowed", () => {
  const engines = holdPlan(makeFew());
  const left = engines.filter((_engine, at) => at !== 5);
  const wait = { figures: FIGURES, mayRespread: () => false };
  assert.equal(planLayerOrders(left, wait), []);
  const orders = planLayerOrders(left, { ...wait, mayRespread: () => true });
  assert.equal(findGaps(applyOrders(left, orders).map(getRange), 80), []);
});

test("of two groups with gaps one at a time is spread anew", () => {
  const engines = holdPlan([...makeFew("a"), ...makeFew("b")]);
  const left = engines.filter(({ engineId }) => !/^[ab]x1$/.test(engineId));
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

test("a group whose layers the others lack is spread anew only as a last resort", () => {
  const engines = holdPlan([...makeFew("a"), ...makeFew("b")]);
  // Each group has a gap of its own: a path crosses from one to the other.
  const holding = (place: string, layer: number) =>
    engines.filter((one) =>
      one.place === place && one.range &&
      one.range.fromLayer <= layer && one.range.toLayer > layer
    );
  const lost = new Set([...holding("a", 0), ...holding("b", 79)]);
  const left = engines.filter((engine) => !lost.has(engine));
  assert.equal(findGaps(left.map(getRange), 80), []);
  const asked: string[] = [];
  const orders = planLayerOrders(left, {
    figures: FIGURES,
    mayRespread(_place, { cover }) {
      asked.push(cover);
      return cover !== "lost";
    },
  });
  assert.equal(orders, []);
  assert.equal([...new Set(asked)], ["lost"]);
  const last = planLayerOrders(left, {
    figures: FIGURES,
    mayRespread: () => true,
  });
  assert.ok(last.length > 0);
});

test("it is told whether others hold what a group is spread anew with, or nobody does", () => {
  const engines = holdPlan([...makeFew("a"), ...makeFew("b")]);
  const asked: string[] = [];
  const options = {
    figures: FIGURES,
    mayRespread(place: string, { cover }: { cover: string }) {
      asked.push(`${place} ${cover}`);
      return false;
    },
  };
  const withoutOne = engines.filter(({ engineId }) => engineId !== "ax1");
  planLayerOrders(withoutOne, options);
  assert.equal(asked, ["a others"]);
  asked.length = 0;
  planLayerOrders(
    withoutOne.filter(({ engineId }) => engineId !== "bx1"),
    options,
  );
  assert.equal(asked, ["a none", "b none"]);
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
    ...makeCard(memoryMb),
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

test("many engines hold every layer several times and leave it at that", () => {
  const engines = holdPlan(makeMany());
  const holders = countHolders(engines);
  assert.ok(Math.min(...holders) >= 2);
  assert.ok(engines.every(({ range }) => range !== undefined));
  const options = { figures: FIGURES, mayRespread: () => true };
  assert.equal(planLayerOrders(engines, options), []);
});

test("of many engines a lost one is replaced, whichever it is", () => {
  const engines = holdPlan(makeMany());
  const least = Math.min(...countHolders(engines));
  for (const lost of engines) {
    const { left, orders } = replaceEngine(engines, lost);
    assert.equal(orders.map(({ engineId }) => engineId), ["new"]);
    const after = applyOrders(left, orders);
    assert.ok(Math.min(...countHolders(after)) >= least);
    assert.ok(getPace(after) <= getPace(engines) + 1e-9);
  }
});

test("of many engines a lost one disturbs none of the others", () => {
  const engines = holdPlan(makeMany());
  const left = engines.filter((_engine, at) => at !== 5);
  const orders = planLayerOrders(left, {
    figures: FIGURES,
    mayRespread: () => true,
  });
  assert.equal(orders, []);
  assert.ok(Math.min(...countHolders(left)) >= 1);
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
