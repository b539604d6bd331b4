/**
 * Redistributes the layers of a model over a group of engines.
 *
 * @module
 */

import { sortById } from "./_lib/sort_by_id.ts";
import { designCopies } from "./design_copies.ts";
import type { LayerEngine, LayerOrder, ModelProfile } from "./types.ts";

/**
 * Redistributes the layers of a model. Engines with equal cards keep the order of the
 * layers that they hold, so that few layers have to be loaded.
 *
 * @param engines - The engines of the group.
 * @param profile - Layer sizes, load and step times of the model.
 * @returns Orders to the engines whose range changes.
 * @throws Nothing.
 * @example
 * const orders = redistributeGroup(engines, profile);
 */
export function redistributeGroup(
  engines: readonly LayerEngine[],
  profile: ModelProfile,
): LayerOrder[] {
  const sorted = sortById(engines).sort((a, b) =>
    getRangeMiddle(a, profile) - getRangeMiddle(b, profile)
  );
  const byId = new Map(engines.map((engine) => [engine.engineId, engine]));
  return designCopies(sorted, profile)
    .flatMap((copy) => copy.orders)
    .filter(({ engineId, fromLayer, toLayer }) => {
      const range = byId.get(engineId)?.range;
      return range?.fromLayer !== fromLayer || range.toLayer !== toLayer;
    });
}

function getRangeMiddle(engine: LayerEngine, profile: ModelProfile): number {
  const { range } = engine;
  return range ? (range.fromLayer + range.toLayer) / 2 : profile.layers;
}
