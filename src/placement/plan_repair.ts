/**
 * Plans the next move of the repair of a placement after engine failures.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";
import { getEngineFlow } from "./get_engine_flow.ts";
import { getFlowBound } from "./get_flow_bound.ts";
import { listStageFlows, type StageFlow } from "./get_placement_flow.ts";
import type { LayerAssignment, PlacementEngine } from "./types.ts";

/** The layers that an engine holds or loads. */
export interface PlacedEngine extends LayerAssignment {
  /** Whether the engine serves its layers; false while it loads them. */
  readonly ready: boolean;
}

/** Options of {@link planRepairMove}. */
export interface PlanRepairOptions {
  /** The live engines. */
  readonly engines: readonly PlacementEngine[];
  readonly layerCount: number;
  /** The stages of the original placement. */
  readonly stages: readonly LayerRange[];
  /** Share of the flow bound of the live engines at which the repair stops. */
  readonly targetShare?: number;
  /** Maximum number of concurrent loads from the weight store. */
  readonly maxLoads?: number;
}

/** A move of an engine to other layers. */
export interface RepairMove {
  readonly upstream: string;
  /** Layers that it gives up; absent if it held none. */
  readonly from?: LayerRange;
  readonly to: LayerRange;
}

/** Default share of the flow bound at which the repair stops. */
export const DEFAULT_TARGET_SHARE = 0.93;

/** Default maximum number of concurrent loads from the weight store. */
export const DEFAULT_MAX_LOADS = 2;

/**
 * Plans the next move of a repair.
 *
 * One engine at a time moves to the slowest stage: preferably an engine without layers,
 * otherwise one from another stage. A stage gives up an engine only if its flow stays
 * above that of the slowest stage, so a move never lowers the flow of the placement,
 * unless a stage has no engine left. Each call starts from the current placement, so
 * a second failure during a repair needs no special handling.
 *
 * @param placed - The layers that each engine holds or loads; failed engines may be
 * included.
 * @param options - The live engines, the model and the limits of the repair.
 * @returns The move, or undefined if no engine moves now.
 * @throws Nothing.
 * @example
 * const move = planRepairMove(placed, options);
 */
export function planRepairMove(
  placed: readonly PlacedEngine[],
  options: PlanRepairOptions,
): RepairMove | undefined {
  const { engines, layerCount, maxLoads = DEFAULT_MAX_LOADS } = options;
  const { targetShare = DEFAULT_TARGET_SHARE } = options;
  const engineByName = new Map(engines.map((engine) => [engine.name, engine]));
  const live = placed.filter((one) => engineByName.has(one.upstream));
  const loading = live.filter((one) => !one.ready).length;
  if (loading >= maxLoads) return undefined;
  // Engines that are loading count as holders, since they will serve soon.
  const flows = listAllStageFlows(live, options);
  const slowest = flows.reduce((a, b) => b.flowPerS < a.flowPerS ? b : a);
  const boundPerS = getFlowBound(engines, layerCount);
  if (slowest.flowPerS >= boundPerS * targetShare) return undefined;
  const idle = engines.filter(({ name }) =>
    !live.some((one) => one.upstream === name)
  );
  return chooseIdleEngine(idle, slowest) ??
    chooseDonatedEngine(live, { engineByName, flows, slowest });
}

function listAllStageFlows(
  live: readonly PlacedEngine[],
  options: PlanRepairOptions,
): StageFlow[] {
  const { engines, layerCount, stages } = options;
  const liveFlows = listStageFlows(live, { engines, layerCount });
  return stages.map((layers) =>
    liveFlows.find((stage) => stage.layers.start === layers.start) ??
      { layers, flowPerS: 0 }
  );
}

function countLayers(layers: LayerRange): number {
  return layers.end - layers.start;
}

function chooseIdleEngine(
  idle: readonly PlacementEngine[],
  slowest: StageFlow,
): RepairMove | undefined {
  const layerCount = countLayers(slowest.layers);
  const fitting = idle.filter((engine) =>
    getEngineFlow(engine, layerCount) > 0
  );
  if (fitting.length === 0) return undefined;
  const best = fitting.reduce((a, b) =>
    getEngineFlow(b, layerCount) > getEngineFlow(a, layerCount) ? b : a
  );
  return { upstream: best.name, to: slowest.layers };
}

function chooseDonatedEngine(
  live: readonly PlacedEngine[],
  state: {
    engineByName: ReadonlyMap<string, PlacementEngine>;
    flows: readonly StageFlow[];
    slowest: StageFlow;
  },
): RepairMove | undefined {
  const { engineByName, flows, slowest } = state;
  const layerCount = countLayers(slowest.layers);
  let best: RepairMove | undefined;
  let bestMinFlow = slowest.flowPerS;
  for (const { upstream, layers, ready } of live) {
    const engine = engineByName.get(upstream);
    const source = flows.find((flow) => flow.layers.start === layers.start);
    if (!ready || !engine || !source || source === slowest) continue;
    const addedFlow = getEngineFlow(engine, layerCount);
    const remaining = source.flowPerS -
      getEngineFlow(engine, countLayers(layers));
    const minFlow = Math.min(remaining, slowest.flowPerS + addedFlow);
    if (addedFlow === 0 || minFlow <= bestMinFlow + 1e-9) continue;
    bestMinFlow = minFlow;
    best = { upstream, from: layers, to: slowest.layers };
  }
  return best;
}
