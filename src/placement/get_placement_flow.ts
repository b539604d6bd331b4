/**
 * The tokens a second that a placement carries.
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

/** A range of layers and what its engines carry together. */
export interface StageFlow {
  readonly layers: LayerRange;
  readonly flowPerS: number;
}

/**
 * Lists the stages of a placement with what each carries.
 *
 * @param assignments - Who holds what.
 * @param options - The engines and the model's layers.
 * @returns The stages in the order of their layers.
 * @throws Nothing.
 * @example
 * const stages = listStageFlows(assignments, { engines, layerCount: 32 });
 */
export function listStageFlows(
  assignments: readonly LayerAssignment[],
  options: GetPlacementFlowOptions,
): StageFlow[] {
  const byName = new Map(options.engines.map((one) => [one.name, one]));
  const stages = new Map<number, StageFlow>();
  for (const { upstream, layers } of assignments) {
    const engine = byName.get(upstream);
    const flow = engine ? getEngineFlow(engine, layers.end - layers.start) : 0;
    const known = stages.get(layers.start)?.flowPerS ?? 0;
    stages.set(layers.start, { layers, flowPerS: known + flow });
  }
  return [...stages.values()].sort((a, b) => a.layers.start - b.layers.start);
}

/**
 * Gets the tokens a second that a placement carries.
 *
 * Its stages are one behind the other, so the max flow is what the weakest of
 * them carries; a layer that nobody holds makes it 0.
 *
 * @param assignments - Who holds what; stages do not overlap.
 * @param options - The engines and the model's layers.
 * @returns Tokens a second.
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
