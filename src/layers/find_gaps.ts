/**
 * Finds the layers that no engine holds.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";

/**
 * Finds the ranges of a model's layers that are in none of the given ranges.
 *
 * @param ranges - The ranges that engines hold.
 * @param layers - Number of layers of the model.
 * @returns The gaps, in the order of their layers.
 * @throws Nothing.
 * @example
 * findGaps([{ fromLayer: 0, toLayer: 20 }], 80);
 */
export function findGaps(
  ranges: readonly LayerRange[],
  layers: number,
): LayerRange[] {
  const sorted = [...ranges].sort((a, b) => a.fromLayer - b.fromLayer);
  const gaps: LayerRange[] = [];
  let covered = 0;
  for (const { fromLayer, toLayer } of sorted) {
    if (fromLayer > covered) {
      gaps.push({ fromLayer: covered, toLayer: fromLayer });
    }
    covered = Math.max(covered, toLayer);
  }
  if (covered < layers) gaps.push({ fromLayer: covered, toLayer: layers });
  return gaps;
}
