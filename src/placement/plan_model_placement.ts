/**
 * The next placement of a model: a first plan, or one repair move.
 *
 * @module
 */

import type { ModelSpec, PlacementSpec, UpstreamSpec } from "../model/index.ts";
import { planPlacement } from "./plan_placement.ts";
import { planRepairMove } from "./plan_repair.ts";
import type { PlacementEngine } from "./types.ts";

/** Names an order: later ones have a higher term, or a higher sequence. */
export interface OrderFence {
  readonly term: number;
  readonly sequence: number;
}

/** Options of {@link planModelPlacement}. */
export interface PlanModelPlacementOptions {
  readonly model: ModelSpec;
  /** Upstreams that are live and take orders to load layers. */
  readonly upstreams: readonly UpstreamSpec[];
  /** The placement that stands, if any. */
  readonly placement?: PlacementSpec;
  /** Fence of the next order. */
  readonly fence: OrderFence;
}

/** Tokens a second of a link of which nothing is declared. */
const DEFAULT_LINK_TOKENS_PER_S = 1e6;

/** Layers a second of an engine of which nothing is declared. */
const DEFAULT_LAYERS_PER_S = 1_000;

/**
 * Plans the next placement of a model.
 *
 * @param options - The model, its live engines, and what stands.
 * @returns The placement to accept, or undefined where nothing changes.
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
  const fitting = Math.floor(memoryBytes / layerBytes);
  return {
    name,
    layersPerS: layersPerS ?? DEFAULT_LAYERS_PER_S,
    maxLayers: Math.min(model.layerCount, fitting),
    linkTokensPerS: DEFAULT_LINK_TOKENS_PER_S,
  };
}
