/**
 * Spreads a model anew over a group of engines.
 *
 * @module
 */

import { sortById } from "./_lib/sort_by_id.ts";
import { designCopies } from "./design_copies.ts";
import type { LayerEngine, LayerFigures, LayerOrder } from "./types.ts";

/**
 * Spreads a model anew. Engines with alike cards keep the order of what they hold,
 * so that as few layers move as can.
 *
 * @param engines - The engines of the group.
 * @param figures - The model's figures.
 * @returns Orders for the engines whose range changes.
 * @throws Nothing.
 * @example
 * const orders = spreadGroup(engines, figures);
 */
export function spreadGroup(
  engines: readonly LayerEngine[],
  figures: LayerFigures,
): LayerOrder[] {
  const inOrder = sortById(engines).sort((a, b) =>
    getMiddle(a, figures) - getMiddle(b, figures)
  );
  const byId = new Map(engines.map((engine) => [engine.engineId, engine]));
  return designCopies(inOrder, figures)
    .flatMap((copy) => copy.orders)
    .filter(({ engineId, fromLayer, toLayer }) => {
      const range = byId.get(engineId)?.range;
      return range?.fromLayer !== fromLayer || range.toLayer !== toLayer;
    });
}

function getMiddle(engine: LayerEngine, figures: LayerFigures): number {
  const { range } = engine;
  return range ? (range.fromLayer + range.toLayer) / 2 : figures.layers;
}
