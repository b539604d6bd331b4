/**
 * Places the layers of a model on mixed engines.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";
import { getEngineFlow } from "./get_engine_flow.ts";
import { getFlowBound } from "./get_flow_bound.ts";
import type { LayerAssignment, Placement, PlacementEngine } from "./types.ts";

/** Options of {@link planPlacement}. */
export interface PlanPlacementOptions {
  readonly layerCount: number;
  /**
   * Part of the best flow that may be given up for fewer stages: each stage
   * more is a hop more for every token.
   */
  readonly hopTolerance?: number;
}

/** Part of the flow given up for fewer stages; see docs/design/placement.md. */
export const DEFAULT_HOP_TOLERANCE = 0.02;

/** Rounds of exchanges that improve the weakest stage. */
const MAX_ROUNDS = 200;

interface Stage {
  readonly layers: LayerRange;
  readonly size: number;
  readonly engines: PlacementEngine[];
  flowPerS: number;
}

/**
 * Plans where the layers of a model go.
 *
 * For each number of stages, the layers are split evenly and the engines dealt
 * out, the strongest first, each to the stage that then lacks most; exchanges
 * between the weakest stage and the others follow. The plan with the most flow
 * wins, or one that is nearly as good with fewer stages.
 *
 * @param engines - The engines.
 * @param options - The model's layers, and what a stage less is worth.
 * @returns The placement with its flow beside the bound.
 * @throws Nothing.
 * @example
 * const { flowPerS, boundPerS } = planPlacement(engines, { layerCount: 32 });
 */
export function planPlacement(
  engines: readonly PlacementEngine[],
  options: PlanPlacementOptions,
): Placement {
  const { layerCount, hopTolerance = DEFAULT_HOP_TOLERANCE } = options;
  const boundPerS = getFlowBound(engines, layerCount);
  const mostLayers = Math.max(1, ...engines.map((engine) => engine.maxLayers));
  const fewest = Math.ceil(layerCount / mostLayers);
  const most = Math.min(layerCount, engines.length);
  let best: Stage[] = [];
  let bestFlow = 0;
  for (let count = fewest; count <= most; count++) {
    const stages = fillStages(engines, splitLayers(layerCount, count));
    const flow = getWeakest(stages).flowPerS;
    // A stage more has to earn its hop.
    if (flow <= bestFlow * (1 + hopTolerance)) continue;
    best = stages;
    bestFlow = flow;
    if (flow >= boundPerS * (1 - hopTolerance)) break;
  }
  return { assignments: listAssignments(best), flowPerS: bestFlow, boundPerS };
}

function splitLayers(layerCount: number, count: number): LayerRange[] {
  return Array.from({ length: count }, (_value, at) => ({
    start: Math.floor((layerCount * at) / count),
    end: Math.floor((layerCount * (at + 1)) / count),
  }));
}

function fillStages(
  engines: readonly PlacementEngine[],
  ranges: readonly LayerRange[],
): Stage[] {
  const stages = ranges.map((layers): Stage => ({
    layers,
    size: layers.end - layers.start,
    engines: [],
    flowPerS: 0,
  }));
  // Those that fit few stages choose first among equals of speed.
  const ordered = [...engines].sort((a, b) =>
    b.layersPerS - a.layersPerS || a.maxLayers - b.maxLayers
  );
  for (const engine of ordered) {
    const target = findNeediest(stages, engine);
    if (target) add(target, engine);
  }
  for (let round = 0; round < MAX_ROUNDS; round++) {
    if (!improve(stages)) break;
  }
  return stages;
}

function findNeediest(
  stages: readonly Stage[],
  engine: PlacementEngine,
): Stage | undefined {
  let target: Stage | undefined;
  for (const stage of stages) {
    if (stage.size > engine.maxLayers) continue;
    if (!target || stage.flowPerS < target.flowPerS) target = stage;
  }
  return target;
}

function add(stage: Stage, engine: PlacementEngine): void {
  stage.engines.push(engine);
  stage.flowPerS += getEngineFlow(engine, stage.size);
}

function remove(stage: Stage, engine: PlacementEngine): void {
  stage.engines.splice(stage.engines.indexOf(engine), 1);
  stage.flowPerS -= getEngineFlow(engine, stage.size);
}

function getWeakest(stages: readonly Stage[]): Stage {
  return stages.reduce((weakest, stage) =>
    stage.flowPerS < weakest.flowPerS ? stage : weakest
  );
}

// One move or exchange that lifts the weakest stage without making another as
// weak; the one that leaves the two most even is taken.
function improve(stages: readonly Stage[]): boolean {
  const weakest = getWeakest(stages);
  let gain = 0;
  let run: (() => void) | undefined;
  for (const other of stages) {
    if (other === weakest) continue;
    for (const given of other.engines) {
      if (weakest.size > given.maxLayers) continue;
      for (const taken of [undefined, ...weakest.engines]) {
        if (taken && other.size > taken.maxLayers) continue;
        const result = Math.min(
          flowAfter(weakest, { given, taken }),
          flowAfter(other, { given: taken, taken: given }),
        );
        if (result - weakest.flowPerS <= gain + 1e-9) continue;
        gain = result - weakest.flowPerS;
        run = () => exchange(weakest, other, { given, taken });
      }
    }
  }
  run?.();
  return run !== undefined;
}

interface Exchange {
  readonly given: PlacementEngine | undefined;
  readonly taken: PlacementEngine | undefined;
}

function flowAfter(stage: Stage, { given, taken }: Exchange): number {
  const gained = given ? getEngineFlow(given, stage.size) : 0;
  const lost = taken ? getEngineFlow(taken, stage.size) : 0;
  return stage.flowPerS + gained - lost;
}

function exchange(
  weakest: Stage,
  other: Stage,
  { given, taken }: Exchange,
): void {
  if (given) {
    remove(other, given);
    add(weakest, given);
  }
  if (!taken) return;
  remove(weakest, taken);
  add(other, taken);
}

function listAssignments(stages: readonly Stage[]): LayerAssignment[] {
  return stages.flatMap(({ engines, layers }) =>
    engines.map(({ name }) => ({ upstream: name, layers }))
  );
}
