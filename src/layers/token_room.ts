/**
 * Memory for tokens in flight beside the layers that engines hold.
 *
 * @module
 */

import type { LayerEngine, LayerFigures } from "./types.ts";

const BYTES_PER_MB = 1e6;

/** Halvings of the search for the tokens in flight; ends below one token. */
const SEARCH_STEPS = 30;

/**
 * Layers that an engine can hold with room for so many tokens in flight.
 *
 * @param memoryMb - The engine's memory.
 * @param figures - The model's figures.
 * @param options - Tokens in flight that each layer has to have room for.
 * @returns Whole layers.
 * @throws Nothing.
 * @example
 * getLayerRoom(21_600, figures, { tokens: 50_000 });
 */
export function getLayerRoom(
  memoryMb: number,
  figures: LayerFigures,
  options: { tokens: number },
): number {
  const { layers, layerMb } = figures;
  const cacheMb = options.tokens * getLayerTokenMb(figures);
  return Math.min(layers, Math.floor(memoryMb / (layerMb + cacheMb)));
}

/**
 * Tokens in flight for which an engine has memory beside its layers.
 *
 * @param memoryMb - The engine's memory.
 * @param figures - The model's figures.
 * @param options - Layers that it holds.
 * @returns Tokens, not rounded.
 * @throws Nothing.
 * @example
 * getTokenRoom(21_600, figures, { layerCount: 8 });
 */
export function getTokenRoom(
  memoryMb: number,
  figures: LayerFigures,
  options: { layerCount: number },
): number {
  const { layerCount } = options;
  const freeMb = memoryMb - layerCount * figures.layerMb;
  return Math.max(0, freeMb / (layerCount * getLayerTokenMb(figures)));
}

// Memory that a token takes for each layer that an engine holds.
function getLayerTokenMb({ layers, kvTokenBytes }: LayerFigures): number {
  return kvTokenBytes / layers / BYTES_PER_MB;
}

/**
 * Finds how many tokens in flight a copy over a group of engines can have. A
 * request takes memory on every engine of its path, so the tightest one binds,
 * and engines that all have the same room hold the most.
 *
 * @param engines - The group.
 * @param figures - The model's figures.
 * @returns Tokens, or undefined where the group can't hold a copy.
 * @throws Nothing.
 * @example
 * const tokens = findTokensInFlight(engines, figures);
 */
export function findTokensInFlight(
  engines: readonly Pick<LayerEngine, "memoryMb">[],
  figures: LayerFigures,
): number | undefined {
  const holds = (tokens: number) => {
    const rooms = engines.map(({ memoryMb }) =>
      getLayerRoom(memoryMb, figures, { tokens })
    );
    return rooms.reduce((sum, room) => sum + room, 0) >= figures.layers;
  };
  if (!holds(0)) return undefined;
  const totalMb = engines.reduce((sum, { memoryMb }) => sum + memoryMb, 0);
  const tokenBytes = Math.max(1, figures.kvTokenBytes);
  let low = 0;
  let high = totalMb * BYTES_PER_MB / tokenBytes;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const middle = (low + high) / 2;
    if (holds(middle)) low = middle;
    else high = middle;
  }
  return Math.floor(low);
}
