/**
 * The tokens a second that one engine carries.
 *
 * @module
 */

import type { PlacementEngine } from "./types.ts";

/**
 * Gets the tokens a second that an engine carries with a number of layers.
 *
 * @param engine - The engine.
 * @param layerCount - Layers that it holds.
 * @returns Tokens a second; 0 where its memory does not hold them.
 * @throws Nothing.
 * @example
 * getEngineFlow(engine, 8);
 */
export function getEngineFlow(
  engine: PlacementEngine,
  layerCount: number,
): number {
  if (layerCount > engine.maxLayers) return 0;
  return Math.min(engine.layersPerS / layerCount, engine.linkTokensPerS);
}
