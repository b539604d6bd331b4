/**
 * Moves engines with redundant layers to layers without a holder.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";
import { listHolders } from "./_lib/list_holders.ts";
import { getMissingFactor } from "./design_copies.ts";
import {
  addHolder,
  type CoverParameters,
  createWindowChooser,
  getHolderGain,
  type LayerCover,
  makeCover,
} from "./layer_cover.ts";
import { getLayerCapacity } from "./token_capacity.ts";
import type { LayerEngine, LayerOrder, ModelProfile } from "./types.ts";

/** Options of {@link moveRedundantEngines}. */
export interface MoveRedundantEnginesOptions {
  readonly cover: LayerCover;
  readonly copies: number;
  readonly tokens: number;
  readonly profile: ModelProfile;
}

/**
 * Moves engines whose layers all have other holders to layers without a holder. The
 * move with the highest gain comes first, until no gap is left or no engine can move.
 *
 * @param engines - The engines of a group.
 * @param options - The cover after the orders so far, the number of copies and the
 * tokens in flight to keep memory for.
 * @returns The orders.
 * @throws Nothing.
 * @example
 * const orders = moveRedundantEngines(engines, { cover, copies: 1, tokens, profile });
 */
export function moveRedundantEngines(
  engines: readonly LayerEngine[],
  options: MoveRedundantEnginesOptions,
): LayerOrder[] {
  const { copies, profile: { layers } } = options;
  let { cover } = options;
  const loaded = engines.filter((engine) => !engine.isLoading);
  let loadedCover = makeCover(loaded.flatMap(listHolders), layers);
  let movable = loaded.filter((engine) => engine.range !== undefined);
  const factors = engines.map(({ stepFactor }) => stepFactor);
  const missingFactor = getMissingFactor(factors);
  const coverParameters: CoverParameters = { layers, copies, missingFactor };
  const orders: LayerOrder[] = [];
  while (cover.some((held) => held.length === 0)) {
    const move = findBestMove(movable, {
      ...options,
      cover,
      loadedCover,
      coverParameters,
    });
    if (!move) break;
    const { engine, toRange } = move;
    orders.push({ engineId: engine.engineId, ...toRange });
    movable = movable.filter((one) => one !== engine);
    loadedCover = removeHolder(loadedCover, engine);
    const coverWithout = removeHolder(cover, engine);
    cover = addHolder(coverWithout, {
      ...toRange,
      stepFactor: engine.stepFactor,
    });
  }
  return orders;
}

function findBestMove(
  engines: readonly LayerEngine[],
  options: MoveRedundantEnginesOptions & {
    /** Cover by the engines that are not loading. */
    readonly loadedCover: LayerCover;
    readonly coverParameters: CoverParameters;
  },
): { engine: LayerEngine; toRange: LayerRange } | undefined {
  const { cover, loadedCover, tokens, coverParameters } = options;
  let best: { engine: LayerEngine; toRange: LayerRange } | undefined;
  let bestGain = 0;
  for (const engine of engines) {
    const { range, stepFactor, memoryMb } = engine;
    const isRedundant = range &&
      loadedCover.slice(range.fromLayer, range.toLayer)
        .every((held) => held.length > 1);
    if (!isRedundant) continue;
    const layerCapacity = getLayerCapacity(memoryMb, options.profile, {
      tokens,
    });
    const coverWithout = removeHolder(cover, engine);
    const window = createWindowChooser(coverWithout, coverParameters)
      .choose({ stepFactor, layerCapacity });
    if (!window || !hasGap(cover, window)) continue;
    const gain = window.gain -
      getHolderGain(coverWithout, { ...range, stepFactor }, coverParameters);
    if (gain <= bestGain) continue;
    const { fromLayer, toLayer } = window;
    best = { engine, toRange: { fromLayer, toLayer } };
    bestGain = gain;
  }
  return best;
}

function hasGap(cover: LayerCover, range: LayerRange): boolean {
  return cover.slice(range.fromLayer, range.toLayer)
    .some((held) => held.length === 0);
}

function removeHolder(
  cover: LayerCover,
  { range, stepFactor }: LayerEngine,
): LayerCover {
  if (!range) return cover;
  return cover.map((held, layer) => {
    if (layer < range.fromLayer || layer >= range.toLayer) return held;
    const at = held.indexOf(stepFactor);
    return held.filter((_factor, index) => index !== at);
  });
}
