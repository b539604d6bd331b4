/**
 * @module
 */

import type { LayerHolder } from "../layer_cover.ts";
import type { LayerEngine } from "../types.ts";

/** Lists the range that an engine holds with its step factor; empty if it holds none. */
export function listHolders({ range, stepFactor }: LayerEngine): LayerHolder[] {
  return range ? [{ ...range, stepFactor }] : [];
}
