/**
 * @module
 */

import type { LayerHolder } from "../layer_cover.ts";
import type { LayerEngine } from "../types.ts";

/** Lists what an engine holds: nothing, or one range with its card's pace. */
export function listHolders({ range, stepFactor }: LayerEngine): LayerHolder[] {
  return range ? [{ ...range, stepFactor }] : [];
}
