/**
 * Measures placement: the token flow of planned placements, compared with an even split
 * and with the upper bound.
 *
 * @module
 */

import { createRandomSource } from "../proof/random_source.ts";
import {
  getFlowBound,
  getPlacementFlow,
  type LayerAssignment,
  type PlacementEngine,
  planPlacement,
} from "../src/placement/index.ts";
import { printTable, type TableRow } from "./print_table.ts";

/** Layers times tokens per second, by kind of engine. */
const LAYERS_PER_S = [4_000, 8_000, 16_000, 24_000, 32_000];

/** Layers that fit into memory, by kind of engine. */
const MAX_LAYERS = [8, 12, 16, 24, 40];

/** Tokens per second of the links, up to a hundredfold apart. */
const LINK_TOKENS_PER_S = [150, 1_500, 15_000];

/** Number of layers of the measured model. */
export const MODEL_LAYERS = 48;

/** Makes engines of five kinds on links of different speed, or all of one kind. */
export function makePlacementEngines(
  count: number,
  mix: "mixed" | "uniform",
): PlacementEngine[] {
  const random = createRandomSource(11);
  return Array.from({ length: count }, (_value, at) => {
    const kind = mix === "mixed" ? random.integer(0, 4) : 2;
    const link = mix === "mixed" && random.chance(0.1)
      ? random.integer(0, 1)
      : 2;
    return {
      name: `engine-${String(at).padStart(3, "0")}`,
      layersPerS: LAYERS_PER_S[kind],
      maxLayers: MAX_LAYERS[kind],
      linkTokensPerS: LINK_TOKENS_PER_S[link],
    };
  });
}

/** Baseline: stages of equal size, with engines assigned round-robin. */
function splitEvenly(
  engines: readonly PlacementEngine[],
  stages: number,
): LayerAssignment[] {
  return engines.map(({ name }, at) => {
    const stage = at % stages;
    return {
      upstream: name,
      layers: {
        start: Math.floor((MODEL_LAYERS * stage) / stages),
        end: Math.floor((MODEL_LAYERS * (stage + 1)) / stages),
      },
    };
  });
}

/** Prints the flow of planned placements for two fleet sizes. */
export function measurePlacement(): void {
  const rows: TableRow[] = [];
  for (const count of [40, 600]) {
    for (const mix of ["uniform", "mixed"] as const) {
      rows.push(measureCase(count, mix));
    }
  }
  printTable(rows);
}

function measureCase(count: number, mix: "mixed" | "uniform"): TableRow {
  const engines = makePlacementEngines(count, mix);
  const startedMs = performance.now();
  const plan = planPlacement(engines, { layerCount: MODEL_LAYERS });
  const tookMs = performance.now() - startedMs;
  // The best flow of the even split over several numbers of stages.
  const even = Math.max(
    ...[2, 3, 4, 6, 8, 12].map((stages) =>
      getPlacementFlow(splitEvenly(engines, stages), {
        engines,
        layerCount: MODEL_LAYERS,
      })
    ),
  );
  const bound = getFlowBound(engines, MODEL_LAYERS);
  const stages = new Set(plan.assignments.map(({ layers }) => layers.start));
  return {
    engines: `${count} ${mix}`,
    "bound tokens/s": Math.round(bound),
    "ours tokens/s": Math.round(plan.flowPerS),
    "of the bound": (plan.flowPerS / bound).toFixed(3),
    "even split of the bound": (even / bound).toFixed(3),
    stages: stages.size,
    "plan ms": tookMs.toFixed(1),
  };
}
