/**
 * Computes the flow of a placement.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";
import { getEngineFlow } from "./get_engine_flow.ts";
import type { LayerAssignment, PlacementEngine } from "./types.ts";

/** Options of {@link getPlacementFlow}. */
export interface GetPlacementFlowOptions {
  readonly engines: readonly PlacementEngine[];
  readonly layerCount: number;
}

/** A range of layers and the total flow of the engines that hold it. */
export interface StageFlow {
  readonly layers: LayerRange;
  readonly flowPerS: number;
}

/**
 * Lists the stages of a placement with their flow.
 *
 * @param assignments - The layers that each engine holds.
 * @param options - The engines and the number of layers of the model.
 * @returns The stages in the order of their layers.
 * @throws Nothing.
 * @example
 * const stages = listStageFlows(assignments, { engines, layerCount: 32 });
 */
export function listStageFlows(
  assignments: readonly LayerAssignment[],
  options: GetPlacementFlowOptions,
): StageFlow[] {
  const engineByName = new Map(options.engines.map((one) => [one.name, one]));
  const stages = new Map<number, StageFlow>();
  for (const { upstream, layers } of assignments) {
    const engine = engineByName.get(upstream);
    const flow = engine ? getEngineFlow(engine, layers.end - layers.start) : 0;
    const previousFlow = stages.get(layers.start)?.flowPerS ?? 0;
    stages.set(layers.start, { layers, flowPerS: previousFlow + flow });
  }
  return [...stages.values()].sort((a, b) => a.layers.start - b.layers.start);
}

/**
 * Gets the tokens per second that a placement can process.
 *
 * Stages run in sequence, so the maximum flow is that of the slowest stage. It is 0 if
 * a layer has no holder.
 *
 * @param assignments - The layers that each engine holds; stages must not overlap.
 * @param options - The engines and the number of layers of the model.
 * @returns Tokens per second.
 * @throws Nothing.
 * @example
 * getPlacementFlow(assignments, { engines, layerCount: 32 });
 */
export function getPlacementFlow(
  assignments: readonly LayerAssignment[],
  options: GetPlacementFlowOptions,
): number {
  let next = 0;
  let flow = Infinity;
  for (const stage of listStageFlows(assignments, options)) {
    if (stage.layers.start !== next) return 0;
    next = stage.layers.end;
    flow = Math.min(flow, stage.flowPerS);
  }
  return next === options.layerCount ? flow : 0;
}
