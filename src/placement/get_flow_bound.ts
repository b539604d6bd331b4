/**
 * The tokens a second that no placement can exceed.
 *
 * @module
 */

import type { PlacementEngine } from "./types.ts";

/**
 * Gets the bound on the flow of any placement.
 *
 * Every token needs every layer once, so no more tokens can run than all
 * engines' layers a second make up. An engine gives no more than its link
 * carries times the layers that it holds.
 *
 * @param engines - The engines.
 * @param layerCount - Layers of the model.
 * @returns Tokens a second.
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
