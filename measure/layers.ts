/**
 * Layers over mixed cards: the pace of paths by our designs, whole and after the
 * worst loss, beside the same room for tokens on every engine.
 *
 * @module
 */

import {
  findLayerPath,
  findTokensInFlight,
  getLayerRoom,
  type LayerEngine,
  type LayerFigures,
  type LayerHolder,
  listOrderHolders,
  makeCover,
  planLayerOrders,
} from "../src/layers/index.ts";
import { printTable, type TableRow } from "./print_table.ts";

/** A model of 140 GB in 80 layers. */
const FIGURES: LayerFigures = {
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

/** Memory and step factor of each kind of card. */
const CARDS = {
  large: { memoryMb: 72_000, stepFactor: 2.4 },
  medium: { memoryMb: 14_400, stepFactor: 5.3 },
  slow: { memoryMb: 21_600, stepFactor: 16 },
};

/** Cards of a data centre: how many of each kind. */
type CardCounts = Readonly<Record<keyof typeof CARDS, number>>;

/** The data centres that are measured. */
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

/** The baseline: one copy, room for the same number of tokens everywhere. */
export function spreadEvenly(engines: readonly LayerEngine[]): LayerHolder[] {
  const tokens = findTokensInFlight(engines, FIGURES) ?? 0;
  const holders: LayerHolder[] = [];
  let fromLayer = 0;
  for (const { memoryMb, stepFactor } of engines) {
    const room = getLayerRoom(memoryMb, FIGURES, { tokens });
    const toLayer = Math.min(FIGURES.layers, fromLayer + room);
    if (toLayer > fromLayer) holders.push({ fromLayer, toLayer, stepFactor });
    fromLayer = toLayer;
  }
  return holders;
}

/** Ours: what the planner orders where nothing is held. */
export function planAnew(engines: readonly LayerEngine[]): LayerHolder[] {
  const orders = planLayerOrders(engines, {
    figures: FIGURES,
    mayRespread: () => true,
  });
  return listOrderHolders(orders, engines);
}

/** Mean step factor of the fastest holders; infinite where a layer has none. */
export function getPace(holders: readonly LayerHolder[]): number {
  const fastest = makeCover(holders, FIGURES.layers)
    .map(([factor = Infinity]) => factor);
  return fastest.reduce((sum, one) => sum + one, 0) / FIGURES.layers;
}

function countSurvivable(holders: readonly LayerHolder[]): number {
  return holders
    .filter((lost) => getPace(holders.filter((one) => one !== lost)) < Infinity)
    .length;
}

/** Prints how long a path over what is planned takes to find. */
function measurePaths(): void {
  printTable([3, 5, 8].map((places): TableRow => {
    const engines = Array.from(
      { length: places },
      (_, at) => makeLayerEngines(PLACES[3], `p${at}`),
    ).flat();
    const orders = planLayerOrders(engines, {
      figures: FIGURES,
      mayRespread: () => true,
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
    for (let warm = 0; warm < PATHS; warm++) find();
    const startedMs = performance.now();
    for (let found = 0; found < PATHS; found++) find();
    const tookMs = (performance.now() - startedMs) / PATHS;
    return { engines: holders.length, "path ms": tookMs.toFixed(2) };
  }));
}

/** Paths that are found for one figure. */
const PATHS = 200;

/** Prints the designs of some data centres, and the time of large plans. */
export function measureLayers(): void {
  printTable(PLACES.map((counts): TableRow => {
    const engines = makeLayerEngines(counts);
    const even = spreadEvenly(engines);
    const ours = planAnew(engines);
    return {
      "large/medium/slow": Object.values(counts).join("/"),
      "pace, even room": getPace(even).toFixed(2),
      "pace, ours": getPace(ours).toFixed(2),
      "losses borne, even room": `${countSurvivable(even)}/${even.length}`,
      "losses borne, ours": `${countSurvivable(ours)}/${ours.length}`,
    };
  }));
  printTable([3, 8].map((places): TableRow => {
    const engines = Array.from({ length: places }, (_, at) =>
      makeLayerEngines(
        places === 3 ? PLACES[2] : { large: 12, medium: 30, slow: 33 },
        `p${at}`,
      )).flat();
    planAnew(engines);
    const startedMs = performance.now();
    planAnew(engines);
    const tookMs = performance.now() - startedMs;
    return { engines: engines.length, "plan ms": tookMs.toFixed(1) };
  }));
  measurePaths();
}
