/**
 * Computes the flow of one engine.
 *
 * @module
 */

import type { PlacementEngine } from "./types.ts";

/**
 * Gets the tokens per second that an engine can process with a number of layers.
 *
 * @param engine - The engine.
 * @param layerCount - Number of layers that it holds.
 * @returns Tokens per second; 0 if the layers don't fit in the engine's memory.
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
