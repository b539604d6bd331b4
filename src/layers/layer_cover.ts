/**
 * Which cards hold each layer, and what it is worth to hold a window of layers
 * once more.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";

/** Step factors of the holders of each layer, the fastest first. */
export type LayerCover = readonly (readonly number[])[];

/** A range of layers and the step factor of the card that holds it. */
export interface LayerHolder extends LayerRange {
  readonly stepFactor: number;
}

/** What the worth of a holder is judged by. */
export interface CoverFigures {
  readonly layers: number;
  /** Copies of the model that are to run side by side. */
  readonly copies: number;
  /** Step factor that a layer without a holder is counted with. */
  readonly missingFactor: number;
}

/** A window of layers and what holding it would gain. */
export interface LayerWindow extends LayerRange {
  /** Step factor that is saved, added up over its layers. */
  readonly gain: number;
}

/**
 * Share of the time in which a holder is taken to be away: lost, loading or
 * slow. It weighs a second holder of a layer against a faster first one: an
 * estimate, since engines come back, empty, a few seconds after a crash.
 */
const AWAY_SHARE = 0.1;

/** Gains that differ by less are the same but for rounding. */
const LEAST_DIFFERENCE = 1e-9;

/**
 * Makes the cover that ranges give.
 *
 * @param holders - The ranges and the step factors of their cards.
 * @param layers - Layers of the model.
 * @returns The cover.
 * @throws Nothing.
 * @example
 * const cover = makeCover([{ fromLayer: 0, toLayer: 20, stepFactor: 2 }], 80);
 */
export function makeCover(
  holders: readonly LayerHolder[],
  layers: number,
): LayerCover {
  return Array.from(
    { length: layers },
    (_, layer) =>
      holders
        .filter(({ fromLayer, toLayer }) =>
          fromLayer <= layer && layer < toLayer
        )
        .map(({ stepFactor }) => stepFactor)
        .sort((a, b) => a - b),
  );
}

/**
 * Adds a holder to a cover.
 *
 * @param cover - The cover.
 * @param holder - The range and the step factor of its card.
 * @returns The cover with it.
 * @throws Nothing.
 * @example
 * const next = addHolder(cover, { fromLayer: 0, toLayer: 9, stepFactor: 16 });
 */
export function addHolder(
  cover: LayerCover,
  holder: LayerHolder,
): LayerCover {
  const { fromLayer, toLayer, stepFactor } = holder;
  return cover.map((factors, layer) =>
    layer < fromLayer || layer >= toLayer
      ? factors
      : [...factors, stepFactor].sort((a, b) => a - b)
  );
}

/** Chooses windows for one engine after the other. */
export interface WindowChooser {
  /**
   * Chooses the window that an engine helps most with; undefined where it has
   * room for none.
   */
  choose(
    engine: { readonly stepFactor: number; readonly room: number },
  ): LayerWindow | undefined;
  /** Adds a holder to the cover. */
  add(holder: LayerHolder): void;
}

/**
 * Makes a chooser of windows: layers that nobody holds come first, then those
 * that only slow cards hold or that have no second holder. Of windows that are
 * alike the first one is taken. The gains of alike cards are kept between two
 * choices: 600 engines are planned in 403 ms in place of 1,049 (both beside load).
 *
 * @param cover - Who holds the layers now.
 * @param figures - What the worth is judged by.
 * @returns The chooser; it keeps a cover of its own.
 * @throws Nothing.
 * @example
 * const window = createWindowChooser(cover, figures).choose(engine);
 */
export function createWindowChooser(
  cover: LayerCover,
  figures: CoverFigures,
): WindowChooser {
  const held = cover.map((factors) => [...factors]);
  let gains: number[] = [];
  let gainsFactor: number | undefined;

  function updateGains(stepFactor: number): void {
    if (gainsFactor === stepFactor) return;
    gainsFactor = stepFactor;
    gains = held.map((factors) => getLayerGain(factors, stepFactor, figures));
  }

  return {
    choose({ stepFactor, room }) {
      const size = Math.min(room, figures.layers);
      if (size <= 0) return undefined;
      updateGains(stepFactor);
      return findBestWindow(gains, size);
    },
    add({ fromLayer, toLayer, stepFactor }) {
      for (let layer = fromLayer; layer < toLayer; layer++) {
        const factors = held[layer];
        factors.splice(findPlace(factors, stepFactor), 0, stepFactor);
        if (gainsFactor === undefined) continue;
        gains[layer] = getLayerGain(factors, gainsFactor, figures);
      }
    },
  };
}

function findBestWindow(gains: readonly number[], size: number): LayerWindow {
  let gain = gains.slice(0, size).reduce((sum, one) => sum + one, 0);
  let best: LayerWindow = { fromLayer: 0, toLayer: size, gain };
  for (let fromLayer = 1; fromLayer + size <= gains.length; fromLayer++) {
    const toLayer = fromLayer + size;
    gain += gains[toLayer - 1] - gains[fromLayer - 1];
    if (gain > best.gain + LEAST_DIFFERENCE) {
      best = { fromLayer, toLayer, gain };
    }
  }
  return best;
}

/**
 * Adds up what a holder gains for its layers.
 *
 * @param cover - Who else holds the layers.
 * @param holder - The range and the step factor of its card.
 * @param figures - What the worth is judged by.
 * @returns The step factor that it saves, added up over its layers.
 * @throws Nothing.
 * @example
 * const gain = getHolderGain(cover, holder, figures);
 */
export function getHolderGain(
  cover: LayerCover,
  holder: LayerHolder,
  figures: CoverFigures,
): number {
  const { fromLayer, toLayer, stepFactor } = holder;
  return cover.slice(fromLayer, toLayer).reduce(
    (sum, factors) => sum + getLayerGain(factors, stepFactor, figures),
    0,
  );
}

function getLayerGain(
  factors: readonly number[],
  stepFactor: number,
  figures: CoverFigures,
): number {
  let gain = 0;
  for (let copy = 0; copy < figures.copies; copy++) {
    gain += getCopyGain(factors, stepFactor, { copy, ...figures });
  }
  return gain;
}

// A layer costs the step factor of its fastest holder, or that of the next one
// while the former is away. Each further copy begins one holder later; what is
// faster than its first one is left to the copies before.
function getCopyGain(
  factors: readonly number[],
  stepFactor: number,
  options: { readonly copy: number; readonly missingFactor: number },
): number {
  const { copy, missingFactor } = options;
  const at = findPlace(factors, stepFactor);
  if (at < copy) {
    // The new one moves all that follow by a place.
    const first = factors[copy - 1];
    return getCost(factors, copy, missingFactor) -
      (1 - AWAY_SHARE) * first -
      AWAY_SHARE * getCost(factors, copy, missingFactor);
  }
  const rest = getCost(factors, at, missingFactor);
  const withIt = (1 - AWAY_SHARE) * stepFactor + AWAY_SHARE * rest;
  return AWAY_SHARE ** (at - copy) * (rest - withIt);
}

function findPlace(factors: readonly number[], stepFactor: number): number {
  const at = factors.findIndex((factor) => factor > stepFactor);
  return at < 0 ? factors.length : at;
}

// What a layer costs with the holders from a place on.
function getCost(
  factors: readonly number[],
  from: number,
  missingFactor: number,
): number {
  let cost = 0;
  let share = 1;
  for (let at = from; at < factors.length; at++) {
    cost += share * (1 - AWAY_SHARE) * factors[at];
    share *= AWAY_SHARE;
  }
  return cost + share * missingFactor;
}
