/**
 * @module
 */

import type { LayerEngine } from "../types.ts";

/** Sorts engines by id, so that a plan doesn't depend on the order of registration. */
export function sortById(engines: readonly LayerEngine[]): LayerEngine[] {
  return [...engines].sort((a, b) => a.engineId < b.engineId ? -1 : 1);
}
