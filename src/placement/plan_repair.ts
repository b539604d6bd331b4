/**
 * The next move that brings a placement back after a loss.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";
import { getEngineFlow } from "./get_engine_flow.ts";
import { getFlowBound } from "./get_flow_bound.ts";
import { listStageFlows, type StageFlow } from "./get_placement_flow.ts";
import type { LayerAssignment, PlacementEngine } from "./types.ts";

/** Where an engine's layers stand. */
export interface PlacedEngine extends LayerAssignment {
  /** Whether it serves them; one that is loading does not yet. */
  readonly ready: boolean;
}

/** Options of {@link planRepairMove}. */
export interface PlanRepairOptions {
  /** The engines that are live. */
  readonly engines: readonly PlacementEngine[];
  readonly layerCount: number;
  /** The stages that the placement was made with. */
  readonly stages: readonly LayerRange[];
  /** Part of the new bound with which the repair is content. */
  readonly contentPart?: number;
  /** Loads that the weight store takes at once. */
  readonly maxLoads?: number;
}

/** An engine that is to take over other layers. */
export interface RepairMove {
  readonly upstream: string;
  /** Layers that it gives up; absent where it held none. */
  readonly from?: LayerRange;
  readonly to: LayerRange;
}

/** Part of the new bound with which the repair is content. */
export const DEFAULT_CONTENT_PART = 0.93;

/** Loads that the weight store takes at once. */
export const DEFAULT_MAX_LOADS = 2;

/**
 * Plans the next move of a repair.
 *
 * One engine at a time goes to the weakest stage: one without layers if there
 * is one, else one that its stage can spare. A stage gives an engine away only
 * while it stays above the weakest, so what is served never falls for a move,
 * unless a stage has nobody left at all. Each call starts from what is there,
 * so a second loss in the midst of a repair needs nothing of its own.
 *
 * @param placed - Who holds or loads what; engines that were lost may be named.
 * @param options - The live engines, the model, and when to be content.
 * @returns The move, or undefined where nothing is to be moved now.
 * @throws Nothing.
 * @example
 * const move = planRepairMove(placed, options);
 */
export function planRepairMove(
  placed: readonly PlacedEngine[],
  options: PlanRepairOptions,
): RepairMove | undefined {
  const { engines, layerCount, maxLoads = DEFAULT_MAX_LOADS } = options;
  const { contentPart = DEFAULT_CONTENT_PART } = options;
  const byName = new Map(engines.map((engine) => [engine.name, engine]));
  const live = placed.filter((one) => byName.has(one.upstream));
  const loading = live.filter((one) => !one.ready).length;
  if (loading >= maxLoads) return undefined;
  // What is loading counts as there: it is on its way.
  const flows = listFlows(live, options);
  const weakest = flows.reduce((a, b) => b.flowPerS < a.flowPerS ? b : a);
  const boundPerS = getFlowBound(engines, layerCount);
  if (weakest.flowPerS >= boundPerS * contentPart) return undefined;
  const idle = engines.filter(({ name }) =>
    !live.some((one) => one.upstream === name)
  );
  return chooseIdle(idle, weakest) ??
    chooseSpared(live, { byName, flows, weakest });
}

function listFlows(
  live: readonly PlacedEngine[],
  options: PlanRepairOptions,
): StageFlow[] {
  const { engines, layerCount, stages } = options;
  const known = listStageFlows(live, { engines, layerCount });
  return stages.map((layers) =>
    known.find((stage) => stage.layers.start === layers.start) ??
      { layers, flowPerS: 0 }
  );
}

function getSize(layers: LayerRange): number {
  return layers.end - layers.start;
}

function chooseIdle(
  idle: readonly PlacementEngine[],
  weakest: StageFlow,
): RepairMove | undefined {
  const size = getSize(weakest.layers);
  const fit = idle.filter((engine) => getEngineFlow(engine, size) > 0);
  if (fit.length === 0) return undefined;
  const best = fit.reduce((a, b) =>
    getEngineFlow(b, size) > getEngineFlow(a, size) ? b : a
  );
  return { upstream: best.name, to: weakest.layers };
}

function chooseSpared(
  live: readonly PlacedEngine[],
  state: {
    byName: ReadonlyMap<string, PlacementEngine>;
    flows: readonly StageFlow[];
    weakest: StageFlow;
  },
): RepairMove | undefined {
  const { byName, flows, weakest } = state;
  const size = getSize(weakest.layers);
  let best: RepairMove | undefined;
  let bestLevel = weakest.flowPerS;
  for (const { upstream, layers, ready } of live) {
    const engine = byName.get(upstream);
    const home = flows.find((flow) => flow.layers.start === layers.start);
    if (!ready || !engine || !home || home === weakest) continue;
    const gain = getEngineFlow(engine, size);
    const left = home.flowPerS - getEngineFlow(engine, getSize(layers));
    const level = Math.min(left, weakest.flowPerS + gain);
    if (gain === 0 || level <= bestLevel + 1e-9) continue;
    bestLevel = level;
    best = { upstream, from: layers, to: weakest.layers };
  }
  return best;
}
