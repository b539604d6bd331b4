/**
 * Computes an upper bound on the flow of any placement.
 *
 * @module
 */

import type { PlacementEngine } from "./types.ts";

/**
 * Gets an upper bound on the flow of any placement.
 *
 * Every token runs every layer once, so the flow is at most the layers per second of
 * all engines, divided by the layers of the model. Each engine counts with at most the
 * token rate of its link times the layers that it can hold.
 *
 * @param engines - The engines.
 * @param layerCount - Number of layers of the model.
 * @returns Tokens per second.
 * @throws Nothing.
 * @example
 * getFlowBound(engines, 32);
 */
export function getFlowBound(
  engines: readonly PlacementEngine[],
  layerCount: number,
): number {
  const usablePerS = engines.reduce((sum, engine) => {
    const held = Math.min(engine.maxLayers, layerCount);
    return sum + Math.min(engine.layersPerS, engine.linkTokensPerS * held);
  }, 0);
  return usablePerS / layerCount;
}
