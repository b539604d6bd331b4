/**
 * Places the layers of a model on engines of different speed and memory.
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
   * Share of the best flow that may be given up to use fewer stages, since each stage
   * adds a hop for every token.
   */
  readonly hopTolerance?: number;
}

/** Default of `hopTolerance`; see docs/design/placement.md. */
export const DEFAULT_HOP_TOLERANCE = 0.02;

/** Maximum number of moves and exchanges that improve the slowest stage. */
const MAX_ROUNDS = 200;

interface Stage {
  readonly layers: LayerRange;
  readonly size: number;
  readonly engines: PlacementEngine[];
  flowPerS: number;
}

/**
 * Plans a placement of a model's layers.
 *
 * For each number of stages, this splits the layers evenly and assigns each engine, the
 * fastest first, to the stage with the lowest flow so far. Then it moves or exchanges
 * engines between the slowest stage and the others. It returns the plan with the
 * highest flow, or one with fewer stages whose flow is nearly as high.
 *
 * @param engines - The engines.
 * @param options - The number of layers of the model and the hop tolerance.
 * @returns The placement with its flow and the bound.
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
  const maxEngineLayers = Math.max(
    1,
    ...engines.map((engine) => engine.maxLayers),
  );
  const minStages = Math.ceil(layerCount / maxEngineLayers);
  const maxStages = Math.min(layerCount, engines.length);
  let best: Stage[] = [];
  let bestFlow = 0;
  for (let count = minStages; count <= maxStages; count++) {
    const stages = fillStages(engines, splitLayers(layerCount, count));
    const flow = getSlowest(stages).flowPerS;
    // More stages have to raise the flow by more than the tolerance.
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
  // Among engines of equal speed, those that fit the fewest stages come first.
  const sorted = [...engines].sort((a, b) =>
    b.layersPerS - a.layersPerS || a.maxLayers - b.maxLayers
  );
  for (const engine of sorted) {
    const target = findSlowestFittingStage(stages, engine);
    if (target) addEngine(target, engine);
  }
  for (let round = 0; round < MAX_ROUNDS; round++) {
    if (!improveSlowestStage(stages)) break;
  }
  return stages;
}

function findSlowestFittingStage(
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

function addEngine(stage: Stage, engine: PlacementEngine): void {
  stage.engines.push(engine);
  stage.flowPerS += getEngineFlow(engine, stage.size);
}

function removeEngine(stage: Stage, engine: PlacementEngine): void {
  stage.engines.splice(stage.engines.indexOf(engine), 1);
  stage.flowPerS -= getEngineFlow(engine, stage.size);
}

function getSlowest(stages: readonly Stage[]): Stage {
  return stages.reduce((slowest, stage) =>
    stage.flowPerS < slowest.flowPerS ? stage : slowest
  );
}

// Executes the move or exchange after which the lower flow of the two stages is
// highest, if that is above the flow of the slowest stage now. Returns whether there
// was one.
function improveSlowestStage(stages: readonly Stage[]): boolean {
  const slowest = getSlowest(stages);
  let gain = 0;
  let execute: (() => void) | undefined;
  for (const other of stages) {
    if (other === slowest) continue;
    for (const added of other.engines) {
      if (slowest.size > added.maxLayers) continue;
      for (const removed of [undefined, ...slowest.engines]) {
        if (removed && other.size > removed.maxLayers) continue;
        const lowerFlow = Math.min(
          getFlowAfter(slowest, { added, removed }),
          getFlowAfter(other, { added: removed, removed: added }),
        );
        if (lowerFlow - slowest.flowPerS <= gain + 1e-9) continue;
        gain = lowerFlow - slowest.flowPerS;
        execute = () => exchangeEngines(slowest, other, { added, removed });
      }
    }
  }
  execute?.();
  return execute !== undefined;
}

interface Exchange {
  readonly added: PlacementEngine | undefined;
  readonly removed: PlacementEngine | undefined;
}

function getFlowAfter(stage: Stage, { added, removed }: Exchange): number {
  const addedFlow = added ? getEngineFlow(added, stage.size) : 0;
  const removedFlow = removed ? getEngineFlow(removed, stage.size) : 0;
  return stage.flowPerS + addedFlow - removedFlow;
}

function exchangeEngines(
  slowest: Stage,
  other: Stage,
  { added, removed }: Exchange,
): void {
  if (added) {
    removeEngine(other, added);
    addEngine(slowest, added);
  }
  if (!removed) return;
  removeEngine(slowest, removed);
  addEngine(other, removed);
}

function listAssignments(stages: readonly Stage[]): LayerAssignment[] {
  return stages.flatMap(({ engines, layers }) =>
    engines.map(({ name }) => ({ upstream: name, layers }))
  );
}
