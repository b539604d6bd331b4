/**
 * Moves engines to layers that nobody holds.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";
import { listHolders } from "./_lib/list_holders.ts";
import { getMissingFactor } from "./design_copies.ts";
import {
  addHolder,
  type CoverFigures,
  createWindowChooser,
  getHolderGain,
  type LayerCover,
  makeCover,
} from "./layer_cover.ts";
import { getLayerRoom } from "./token_room.ts";
import type { LayerEngine, LayerFigures, LayerOrder } from "./types.ts";

/** What moves of engines to layers that nobody holds go by. */
export interface MoveSparesOptions {
  readonly cover: LayerCover;
  readonly copies: number;
  readonly tokens: number;
  readonly figures: LayerFigures;
}

/**
 * Moves engines all of whose layers others hold too to where nobody does. The most
 * useful one moves first, until no gap is left or none may go.
 *
 * @param engines - The engines of a group.
 * @param options - Who holds what once orders are carried out, the room to keep.
 * @returns The orders.
 * @throws Nothing.
 * @example
 * const orders = moveSpares(engines, { cover, copies: 1, tokens, figures });
 */
export function moveSpares(
  engines: readonly LayerEngine[],
  options: MoveSparesOptions,
): LayerOrder[] {
  const { copies, figures: { layers } } = options;
  let { cover } = options;
  const ready = engines.filter((engine) => !engine.isLoading);
  let readyCover = makeCover(ready.flatMap(listHolders), layers);
  let left = ready.filter((engine) => engine.range !== undefined);
  const factors = engines.map(({ stepFactor }) => stepFactor);
  const missingFactor = getMissingFactor(factors);
  const figures: CoverFigures = { layers, copies, missingFactor };
  const orders: LayerOrder[] = [];
  while (cover.some((held) => held.length === 0)) {
    const move = findBestMove(left, {
      ...options,
      cover,
      readyCover,
      judge: figures,
    });
    if (!move) break;
    const { engine, toRange } = move;
    orders.push({ engineId: engine.engineId, ...toRange });
    left = left.filter((one) => one !== engine);
    readyCover = removeHolder(readyCover, engine);
    const without = removeHolder(cover, engine);
    cover = addHolder(without, { ...toRange, stepFactor: engine.stepFactor });
  }
  return orders;
}

function findBestMove(
  engines: readonly LayerEngine[],
  options: MoveSparesOptions & {
    /** Cover by the engines that don't load. */
    readonly readyCover: LayerCover;
    readonly judge: CoverFigures;
  },
): { engine: LayerEngine; toRange: LayerRange } | undefined {
  const { cover, readyCover, tokens, judge } = options;
  let best: { engine: LayerEngine; toRange: LayerRange } | undefined;
  let bestGain = 0;
  for (const engine of engines) {
    const { range, stepFactor, memoryMb } = engine;
    const isSpare = range && readyCover.slice(range.fromLayer, range.toLayer)
      .every((held) => held.length > 1);
    if (!isSpare) continue;
    const room = getLayerRoom(memoryMb, options.figures, { tokens });
    const without = removeHolder(cover, engine);
    const window = createWindowChooser(without, judge)
      .choose({ stepFactor, room });
    if (!window || !hasGap(cover, window)) continue;
    const gain = window.gain -
      getHolderGain(without, { ...range, stepFactor }, judge);
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
