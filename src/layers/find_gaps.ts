/**
 * Finds the layers that nobody holds.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";

/**
 * Finds the gaps that ranges leave in a model.
 *
 * @param ranges - The ranges that are held.
 * @param layers - Layers of the model.
 * @returns The gaps, from the first layer on.
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
