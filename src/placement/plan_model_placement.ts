/**
 * Plans the next placement of a model: an initial plan, or one repair move.
 *
 * @module
 */

import type { ModelSpec, PlacementSpec, UpstreamSpec } from "../model/index.ts";
import { planPlacement } from "./plan_placement.ts";
import { planRepairMove } from "./plan_repair.ts";
import type { PlacementEngine } from "./types.ts";

/** Fencing token of an order: later orders have a higher term, or a higher sequence. */
export interface OrderFence {
  readonly term: number;
  readonly sequence: number;
}

/** Options of {@link planModelPlacement}. */
export interface PlanModelPlacementOptions {
  readonly model: ModelSpec;
  /** Live upstreams that accept orders to load layers. */
  readonly upstreams: readonly UpstreamSpec[];
  /** The current placement, if any. */
  readonly placement?: PlacementSpec;
  /** Fencing token of the next order. */
  readonly fence: OrderFence;
}

/** Tokens per second of the link of an engine; upstreams declare none. */
const DEFAULT_LINK_TOKENS_PER_S = 1e6;

/** Layers per second of an engine that declares no value. */
const DEFAULT_LAYERS_PER_S = 1_000;

/**
 * Plans the next placement of a model.
 *
 * @param options - The model, its live engines and the current placement.
 * @returns The next placement, or undefined if nothing changes.
 * @throws Nothing.
 * @example
 * const next = planModelPlacement({ model, upstreams, fence });
 */
export function planModelPlacement(
  options: PlanModelPlacementOptions,
): PlacementSpec | undefined {
  const { model, upstreams, placement, fence } = options;
  const { layerCount } = model;
  const engines = upstreams.map((upstream) => toEngine(upstream, model));
  const order = { orderTerm: fence.term, orderSequence: fence.sequence };
  if (!placement || placement.assignments.length === 0) {
    const { assignments } = planPlacement(engines, { layerCount });
    if (assignments.length === 0) return undefined;
    return {
      assignments: assignments.map((one, at) => ({
        ...one,
        ready: false,
        orderTerm: fence.term,
        orderSequence: fence.sequence + at,
      })),
    };
  }
  const { assignments } = placement;
  const stages = [
    ...new Map(assignments.map(({ layers }) => [layers.start, layers]))
      .values(),
  ].sort((a, b) => a.start - b.start);
  const move = planRepairMove(assignments, { engines, layerCount, stages });
  if (!move) return undefined;
  const { upstream, to: layers } = move;
  const others = assignments.filter((one) => one.upstream !== upstream);
  return {
    assignments: [...others, { upstream, layers, ready: false, ...order }],
  };
}

function toEngine(upstream: UpstreamSpec, model: ModelSpec): PlacementEngine {
  const { name, memoryBytes = Infinity, layersPerS } = upstream;
  const layerBytes = model.layerBytes ?? 1;
  const maxLayers = Math.floor(memoryBytes / layerBytes);
  return {
    name,
    layersPerS: layersPerS ?? DEFAULT_LAYERS_PER_S,
    maxLayers: Math.min(model.layerCount, maxLayers),
    linkTokensPerS: DEFAULT_LINK_TOKENS_PER_S,
  };
}
