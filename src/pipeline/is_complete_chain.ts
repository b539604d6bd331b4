/**
 * Checks whether a chain covers a model.
 *
 * @module
 */

import type { Stage } from "./types.ts";

/**
 * Checks whether the stages cover the layers in order, without gaps or overlaps.
 *
 * @param chain - The stages.
 * @param layerCount - Number of layers of the model.
 * @returns Whether every layer runs exactly once, in order.
 * @throws Nothing.
 * @example
 * isCompleteChain([{ upstream: "e1", layers: { start: 0, end: 4 } }], 4); // true
 */
export function isCompleteChain(
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
