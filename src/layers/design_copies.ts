/**
 * Designs the copies of a model that a group of engines is to hold.
 *
 * @module
 */

import {
  createWindowChooser,
  type LayerCover,
  type LayerHolder,
  makeCover,
} from "./layer_cover.ts";
import { findTokensInFlight, getLayerRoom } from "./token_room.ts";
import type { LayerEngine, LayerFigures, LayerOrder } from "./types.ts";

/** The figures of a model that the time of a step goes by. */
export type StepFigures = Pick<
  LayerFigures,
  | "stepMs"
  | "requestStepMs"
  | "contextStepMs"
  | "usualPromptTokens"
  | "usualAnswerTokens"
>;

/** An engine as a design sees it: what it holds now plays no part. */
export type DesignEngine = Pick<
  LayerEngine,
  "engineId" | "memoryMb" | "stepFactor"
>;

/** One copy of a design: every layer at least once, some more often. */
export interface CopyDesign {
  /** Tokens in flight that every engine has room for. */
  readonly tokens: number;
  readonly orders: readonly LayerOrder[];
}

/**
 * Room for tokens that is weighed, as shares of the most that a copy can use:
 * less room lets fast cards hold more layers and frees slow ones to hold layers
 * a second time. Against the same room everywhere, paths take 3.5 to 7.7 in place
 * of 7.1 to 9.4 base steps (`npm run measure -- layers`), and mean worth of five
 * days with trouble on 38 engines rises from 0.430 to 0.499 (single plays).
 */
const ROOM_SHARES = [1, 0.8, 0.65, 0.5, 0.4, 0.3, 0.2];

/**
 * Weight of the streams that run after one loss, beside those that the whole
 * copy runs: losses last for a few seconds, the time to load layers again.
 * Mean worth of five days with trouble on 38 engines, single plays: 0.511 with
 * 0.1, 0.518 with 0.25, 0.472 with 0.5, which keeps too little room for tokens.
 */
const LOSS_WEIGHT = 0.1;

/** Step factor of a layer without a holder, over that of the slowest card. */
const MISSING_SHARE = 10;

/**
 * Designs as many copies as run the most streams, counted both while all
 * engines are there and while one of them is lost. More copies have more first
 * engines, whose places are limited, and less memory for requests. Of alike
 * engines those that come first get the earlier layers.
 *
 * @param engines - The engines of the group.
 * @param figures - The model's figures.
 * @returns The copies; none where the engines can't hold one.
 * @throws Nothing.
 * @example
 * const copies = designCopies(engines, figures);
 */
export function designCopies(
  engines: readonly DesignEngine[],
  figures: LayerFigures,
): readonly CopyDesign[] {
  let best: readonly CopyDesign[] = [];
  let bestRate = -1;
  for (let count = 1; count <= engines.length; count++) {
    const dealt = dealEngines(engines, count);
    const designs = dealt.map((members) => designCopy(members, figures));
    if (designs.some((design) => design === undefined)) break;
    const rate = designs.reduce((sum, design) => sum + (design?.rate ?? 0), 0);
    if (rate <= bestRate) break;
    best = designs.flatMap((design) => design ? [design] : []);
    bestRate = rate;
  }
  return best;
}

/**
 * Gives engines the windows of layers that they help most with, the fastest
 * engines first.
 *
 * @param engines - The engines; none of them is in the cover.
 * @param options - Who else holds layers, and the room that they need.
 * @returns The orders.
 * @throws Nothing.
 * @example
 * const orders = layOutEngines(engines, { cover, copies: 1, tokens, figures });
 */
export function layOutEngines(
  engines: readonly DesignEngine[],
  options: {
    readonly cover: LayerCover;
    readonly copies: number;
    readonly tokens: number;
    readonly figures: LayerFigures;
  },
): LayerOrder[] {
  const { cover, copies, tokens, figures } = options;
  const { layers } = figures;
  const missingFactor = getMissingFactor([
    ...engines.map(({ stepFactor }) => stepFactor),
    ...cover.flat(),
  ]);
  const chooser = createWindowChooser(cover, {
    layers,
    copies,
    missingFactor,
  });
  const orders: LayerOrder[] = [];
  for (const { engineId, memoryMb, stepFactor } of sortBySpeed(engines)) {
    const room = getLayerRoom(memoryMb, figures, { tokens });
    const window = chooser.choose({ stepFactor, room });
    if (!window) continue;
    const { fromLayer, toLayer } = window;
    orders.push({ engineId, fromLayer, toLayer });
    chooser.add({ fromLayer, toLayer, stepFactor });
  }
  return orders;
}

/**
 * Step factor that a layer without a holder is counted with: ten times the
 * slowest card's, so that no gain of pace outweighs a gap.
 *
 * @param factors - The step factors of the group's cards.
 * @returns The factor.
 * @throws Nothing.
 * @example
 * getMissingFactor([2.4, 16]);
 */
export function getMissingFactor(factors: readonly number[]): number {
  return Math.max(1, ...factors) * MISSING_SHARE;
}

// Alike engines stay in the order in which they were given.
function sortBySpeed(engines: readonly DesignEngine[]): DesignEngine[] {
  return [...engines].sort((a, b) =>
    a.stepFactor - b.stepFactor || b.memoryMb - a.memoryMb
  );
}

/**
 * Tells what engines hold once they have carried orders out.
 *
 * @param orders - The orders.
 * @param engines - The engines, those that get orders among them.
 * @returns The ranges, with the step factors of the engines' cards.
 * @throws Nothing.
 * @example
 * const cover = makeCover(listOrderHolders(orders, engines), 80);
 */
export function listOrderHolders(
  orders: readonly LayerOrder[],
  engines: readonly Pick<DesignEngine, "engineId" | "stepFactor">[],
): LayerHolder[] {
  const factors = new Map(
    engines.map(({ engineId, stepFactor }) => [engineId, stepFactor]),
  );
  return orders.map(({ engineId, fromLayer, toLayer }) => ({
    fromLayer,
    toLayer,
    stepFactor: factors.get(engineId) ?? 1,
  }));
}

// In turns, the fastest first, there and back again: all copies get alike.
function dealEngines(
  engines: readonly DesignEngine[],
  count: number,
): DesignEngine[][] {
  const copies: DesignEngine[][] = Array.from({ length: count }, () => []);
  sortBySpeed(engines).forEach((engine, at) => {
    const turn = Math.floor(at / count);
    const place = at % count;
    copies[turn % 2 === 0 ? place : count - 1 - place].push(engine);
  });
  return copies;
}

interface RatedDesign extends CopyDesign {
  /** Streams for a unit of time: whole, and the mean after one loss. */
  readonly rate: number;
}

function designCopy(
  engines: readonly DesignEngine[],
  figures: LayerFigures,
): RatedDesign | undefined {
  const mostTokens = findTokensInFlight(engines, figures);
  if (mostTokens === undefined) return undefined;
  const usableTokens = Math.min(
    mostTokens,
    figures.slots * getUsualTokens(figures),
  );
  const designs = ROOM_SHARES.map((share) =>
    rateDesign(engines, { tokens: share * usableTokens, figures })
  );
  return designs.reduce((best, one) => one.rate > best.rate ? one : best);
}

function rateDesign(
  engines: readonly DesignEngine[],
  options: { tokens: number; figures: LayerFigures },
): RatedDesign {
  const { tokens, figures } = options;
  const cover = makeCover([], figures.layers);
  const orders = layOutEngines(engines, {
    cover,
    copies: 1,
    tokens,
    figures,
  });
  const holders = listOrderHolders(orders, engines);
  const whole = makeCover(holders, figures.layers);
  const pace = getPace(whole, figures);
  const paces = holders.map((lost) =>
    pace + getPaceWithout(whole, lost) / figures.layers
  );
  const toRate = (one: number) => getStreamRate(one, { tokens, figures });
  const afterLoss = paces.reduce((sum, one) => sum + toRate(one), 0) /
    Math.max(1, paces.length);
  const rate = (1 - LOSS_WEIGHT) * toRate(pace) + LOSS_WEIGHT * afterLoss;
  return { tokens, orders, rate };
}

function getPace(cover: LayerCover, { layers }: LayerFigures): number {
  const factors = cover.map(([fastest = Infinity]) => fastest);
  return factors.reduce((sum, factor) => sum + factor, 0) / layers;
}

// Step factor that the layers of one holder cost more without it.
function getPaceWithout(
  cover: LayerCover,
  lost: LayerHolder,
): number {
  return cover.slice(lost.fromLayer, lost.toLayer).reduce(
    (sum, [fastest, second = Infinity]) =>
      fastest === lost.stepFactor ? sum + second - fastest : sum,
    0,
  );
}

// Little's law: what is in flight over the time of a token. The length of the
// answers is the same for all designs and left out. Two standard deviations of
// what is in flight stay free: full engines refuse.
function getStreamRate(
  pace: number,
  { tokens, figures }: { tokens: number; figures: LayerFigures },
): number {
  const fitting = tokens / getUsualTokens(figures);
  const requests = Math.max(
    0,
    Math.min(figures.slots, fitting - 2 * Math.sqrt(fitting)),
  );
  return requests / (pace * getBatchStepMs(figures, { requests }));
}

/**
 * Time of a token step of a batch on the fastest card with all layers.
 *
 * @param figures - The model's figures.
 * @param options - Requests that run at once.
 * @returns The time, in ms.
 * @throws Nothing.
 * @example
 * getBatchStepMs(figures, { requests: 40 });
 */
export function getBatchStepMs(
  figures: StepFigures,
  options: { readonly requests: number },
): number {
  const { stepMs, requestStepMs, contextStepMs } = figures;
  const contextMs = getUsualTokens(figures) * contextStepMs;
  return stepMs + options.requests * (requestStepMs + contextMs);
}

/**
 * Tokens that a request usually holds in memory at its end.
 *
 * @param figures - The model's figures.
 * @returns Tokens, one at least.
 * @throws Nothing.
 * @example
 * getUsualTokens(figures);
 */
export function getUsualTokens(
  figures: Pick<LayerFigures, "usualPromptTokens" | "usualAnswerTokens">,
): number {
  return Math.max(1, figures.usualPromptTokens + figures.usualAnswerTokens);
}
