/**
 * Whether a chain covers a model.
 *
 * @module
 */

import type { Stage } from "./types.ts";

/**
 * Tells whether the stages tile the layers: in order, no gap, no overlap.
 *
 * @param chain - The stages.
 * @param layerCount - Layers of the model.
 * @returns Whether every layer runs exactly once, in order.
 * @throws Nothing.
 * @example
 * isWholeChain([{ upstream: "e1", layers: { start: 0, end: 4 } }], 4); // true
 */
export function isWholeChain(
  chain: readonly Stage[],
  layerCount: number,
): boolean {
  let next = 0;
  for (const { layers } of chain) {
    if (layers.start !== next || layers.end <= layers.start) return false;
    next = layers.end;
  }
  return next === layerCount;
}
