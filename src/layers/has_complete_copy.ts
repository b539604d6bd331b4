/**
 * Checks whether the engines of one data centre hold all layers of a model.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";

/** A range of layers, and the data centre of the engine that holds it. */
export interface PlacedRange extends LayerRange {
  readonly place: string;
}

/**
 * Checks whether any data centre holds all layers.
 *
 * @param ranges - The ranges that engines hold.
 * @param options - The number of layers of the model.
 * @returns Whether the engines of one data centre hold all layers together.
 * @throws Nothing.
 * @example
 * hasCompleteCopy([{ place: "a", fromLayer: 0, toLayer: 80 }], { layers: 80 }); // true
 */
export function hasCompleteCopy(
  ranges: readonly PlacedRange[],
  { layers }: { readonly layers: number },
): boolean {
  const heldTo = new Map<string, number>();
  const sorted = [...ranges].sort((a, b) => a.fromLayer - b.fromLayer);
  for (const { place, fromLayer, toLayer } of sorted) {
    const held = heldTo.get(place) ?? 0;
    if (fromLayer <= held) heldTo.set(place, Math.max(held, toLayer));
  }
  return [...heldTo.values()].some((held) => held >= layers);
}
