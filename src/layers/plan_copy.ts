/**
 * Spreads one copy of a model over a group of engines.
 *
 * @module
 */

import type { LayerEngine, LayerFigures, LayerOrder } from "./types.ts";

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
 * Plans a whole copy so that all its engines have room for the same number of
 * tokens in flight, which is then as large as the group allows: a request
 * takes memory on every engine of its path, so the tightest one binds.
 *
 * @param engines - The group, in the order of the layers.
 * @param figures - The model's figures.
 * @returns The orders, or undefined where the group can't hold a copy.
 * @throws Nothing.
 * @example
 * const orders = planCopy(engines, figures);
 */
export function planCopy(
  engines: readonly LayerEngine[],
  figures: LayerFigures,
): LayerOrder[] | undefined {
  const tokens = findTokensInFlight(engines, figures);
  if (tokens === undefined) return undefined;
  const orders: LayerOrder[] = [];
  let fromLayer = 0;
  for (const { engineId, memoryMb } of engines) {
    const room = getLayerRoom(memoryMb, figures, { tokens });
    const toLayer = Math.min(figures.layers, fromLayer + room);
    if (toLayer > fromLayer) orders.push({ engineId, fromLayer, toLayer });
    fromLayer = toLayer;
  }
  return orders;
}

/**
 * Finds how many tokens in flight a copy over a group of engines can have.
 *
 * @param engines - The group.
 * @param figures - The model's figures.
 * @returns Tokens, or undefined where the group can't hold a copy.
 * @throws Nothing.
 * @example
 * const tokens = findTokensInFlight(engines, figures);
 */
export function findTokensInFlight(
  engines: readonly LayerEngine[],
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
