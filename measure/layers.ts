/**
 * Measures the layout of layers over mixed cards: the speed of paths in planned
 * layouts and how many single-engine losses they survive, compared with a layout that
 * gives every engine capacity for the same number of tokens.
 *
 * @module
 */

import {
  findLayerPath,
  findTokensInFlight,
  getLayerCapacity,
  type LayerEngine,
  type LayerHolder,
  listOrderHolders,
  makeCover,
  type ModelProfile,
  planLayerOrders,
} from "../src/layers/index.ts";
import { printTable, type TableRow } from "./print_table.ts";

/** A model of 140 GB with 80 layers. */
const FIGURES: ModelProfile = {
  layers: 80,
  layerMb: 1_750,
  kvTokenBytes: 845_000,
  slots: 134,
  usualPromptTokens: 760,
  usualAnswerTokens: 215,
  stepMs: 1,
  requestStepMs: 0.0066,
  contextStepMs: 0.000_009,
};

/** Memory of each kind of card, and its step time relative to the model's base step. */
const CARDS = {
  large: { memoryMb: 72_000, stepFactor: 2.4 },
  medium: { memoryMb: 14_400, stepFactor: 5.3 },
  slow: { memoryMb: 21_600, stepFactor: 16 },
};

/** Number of cards of each kind in a data centre. */
type CardCounts = Readonly<Record<keyof typeof CARDS, number>>;

const PLACES: readonly CardCounts[] = [
  { large: 2, medium: 4, slow: 4 },
  { large: 1, medium: 6, slow: 6 },
  { large: 1, medium: 10, slow: 4 },
  { large: 4, medium: 10, slow: 11 },
];

/** Makes the engines of a data centre. */
export function makeLayerEngines(
  counts: CardCounts,
  place = "a",
): LayerEngine[] {
  const kinds = Object.keys(CARDS) as (keyof typeof CARDS)[];
  return kinds.flatMap((kind) =>
    Array.from({ length: counts[kind] }, (_, at) => ({
      engineId: `${place}-${kind}-${String(at).padStart(2, "0")}`,
      place,
      ...CARDS[kind],
    }))
  );
}

/** Baseline: one copy of each layer, capacity for equally many tokens everywhere. */
export function planEqualCapacity(
  engines: readonly LayerEngine[],
): LayerHolder[] {
  const tokens = findTokensInFlight(engines, FIGURES) ?? 0;
  const holders: LayerHolder[] = [];
  let fromLayer = 0;
  for (const { memoryMb, stepFactor } of engines) {
    const capacity = getLayerCapacity(memoryMb, FIGURES, { tokens });
    const toLayer = Math.min(FIGURES.layers, fromLayer + capacity);
    if (toLayer > fromLayer) holders.push({ fromLayer, toLayer, stepFactor });
    fromLayer = toLayer;
  }
  return holders;
}

/** Layout that the planner orders where no engine holds layers yet. */
export function planFromScratch(
  engines: readonly LayerEngine[],
): LayerHolder[] {
  const orders = planLayerOrders(engines, {
    profile: FIGURES,
    mayRedistribute: () => true,
  });
  return listOrderHolders(orders, engines);
}

/** Mean step factor of each layer's fastest holder; infinite where a layer has none. */
export function getMeanStepFactor(holders: readonly LayerHolder[]): number {
  const fastest = makeCover(holders, FIGURES.layers)
    .map(([factor = Infinity]) => factor);
  return fastest.reduce((sum, one) => sum + one, 0) / FIGURES.layers;
}

function countSurvivableLosses(holders: readonly LayerHolder[]): number {
  return holders
    .filter((removed) =>
      getMeanStepFactor(holders.filter((one) => one !== removed)) < Infinity
    )
    .length;
}

/** Prints the time of a path search over a planned layout. */
function measurePathSearch(): void {
  printTable([3, 5, 8].map((places): TableRow => {
    const engines = Array.from(
      { length: places },
      (_, at) => makeLayerEngines(PLACES[3], `p${at}`),
    ).flat();
    const orders = planLayerOrders(engines, {
      profile: FIGURES,
      mayRedistribute: () => true,
    });
    const byId = new Map(engines.map((one) => [one.engineId, one]));
    const holders = orders.map((order) => {
      const { place = "", stepFactor = 1 } = byId.get(order.engineId) ?? {};
      return { ...order, place, layerCost: stepFactor / 80, firstCost: 0 };
    });
    const find = () =>
      findLayerPath(holders, {
        layers: FIGURES.layers,
        place: "p0",
        hopCost: 0.3,
        entryPlaceCost: 2,
        placeCost: 12,
        maxParts: 32,
      });
    for (let warm = 0; warm < PATH_SEARCHES; warm++) find();
    const startedMs = performance.now();
    for (let found = 0; found < PATH_SEARCHES; found++) find();
    const tookMs = (performance.now() - startedMs) / PATH_SEARCHES;
    return { engines: holders.length, "path ms": tookMs.toFixed(2) };
  }));
}

/** Path searches that are averaged for one figure. */
const PATH_SEARCHES = 200;

/** Prints layouts of some data centres, and the time of plans and path searches. */
export function measureLayers(): void {
  printTable(PLACES.map((counts): TableRow => {
    const engines = makeLayerEngines(counts);
    const even = planEqualCapacity(engines);
    const ours = planFromScratch(engines);
    return {
      "large/medium/slow": Object.values(counts).join("/"),
      "pace, even room": getMeanStepFactor(even).toFixed(2),
      "pace, ours": getMeanStepFactor(ours).toFixed(2),
      "losses borne, even room": `${
        countSurvivableLosses(even)
      }/${even.length}`,
      "losses borne, ours": `${countSurvivableLosses(ours)}/${ours.length}`,
    };
  }));
  printTable([3, 8].map((places): TableRow => {
    const engines = Array.from({ length: places }, (_, at) =>
      makeLayerEngines(
        places === 3 ? PLACES[2] : { large: 12, medium: 30, slow: 33 },
        `p${at}`,
      )).flat();
    planFromScratch(engines);
    const startedMs = performance.now();
    planFromScratch(engines);
    const tookMs = performance.now() - startedMs;
    return { engines: engines.length, "plan ms": tookMs.toFixed(1) };
  }));
  measurePathSearch();
}
