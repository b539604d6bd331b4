/**
 * Computes how a group of engines should hold copies of a model.
 *
 * @module
 */

import {
  createWindowChooser,
  type LayerCover,
  type LayerHolder,
  makeCover,
} from "./layer_cover.ts";
import { findTokensInFlight, getLayerCapacity } from "./token_capacity.ts";
import type { LayerEngine, LayerOrder, ModelProfile } from "./types.ts";

/** The fields of a model that determine the time of a step. */
export type StepProfile = Pick<
  ModelProfile,
  | "stepMs"
  | "requestStepMs"
  | "contextStepMs"
  | "usualPromptTokens"
  | "usualAnswerTokens"
>;

/** An engine as input to a design, which ignores the layers that it holds now. */
export type DesignEngine = Pick<
  LayerEngine,
  "engineId" | "memoryMb" | "stepFactor"
>;

/** One copy of a model: each layer has one or more holders. */
export interface CopyDesign {
  /** Tokens in flight that every engine has memory for. */
  readonly tokens: number;
  readonly orders: readonly LayerOrder[];
}

/**
 * Token capacities that are compared, as shares of the most that a copy can use.
 * With less memory for tokens, fast cards hold more layers, and slow ones are free to
 * hold layers a second time. Compared with the full capacity for all designs, paths
 * take 3.5 to 7.7 instead of 7.1 to 9.4 base steps (`npm run measure -- layers`), and
 * the mean score of five days with failures on 38 engines, one run each, rises from
 * 0.430 to 0.499.
 */
const TOKEN_CAPACITY_SHARES = [1, 0.8, 0.65, 0.5, 0.4, 0.3, 0.2];

/**
 * Weight of the stream rate after the failure of one engine, against the rate of the
 * complete copy. It is low because a failure lasts only the few seconds that it takes
 * to load the layers again, and because a high weight leaves too little memory for
 * tokens: the mean score of five days with failures on 38 engines, one run each, is
 * 0.511 with 0.1, 0.518 with 0.25 and 0.472 with 0.5.
 */
const FAILURE_WEIGHT = 0.1;

/** Ratio of the step factor of a layer without a holder to that of the slowest card. */
const MISSING_LAYER_RATIO = 10;

/**
 * Designs the number of copies that gives the highest stream rate, counted both with
 * all engines and after the failure of any one of them. More copies have more first
 * engines, whose request slots are limited, but leave less memory for requests. Among
 * engines with equal cards, the first in the list get the earlier layers.
 *
 * @param engines - The engines of the group.
 * @param profile - Layer sizes, load and step times of the model.
 * @returns The copies; empty if the engines can't hold one.
 * @throws Nothing.
 * @example
 * const copies = designCopies(engines, profile);
 */
export function designCopies(
  engines: readonly DesignEngine[],
  profile: ModelProfile,
): readonly CopyDesign[] {
  let best: readonly CopyDesign[] = [];
  let bestRate = -1;
  for (let count = 1; count <= engines.length; count++) {
    const memberLists = distributeEngines(engines, count);
    const designs = memberLists.map((members) => designCopy(members, profile));
    if (designs.some((design) => design === undefined)) break;
    const rate = designs.reduce((sum, design) => sum + (design?.rate ?? 0), 0);
    if (rate <= bestRate) break;
    best = designs.flatMap((design) => design ? [design] : []);
    bestRate = rate;
  }
  return best;
}

/**
 * Assigns each engine the window of layers with the highest gain, fastest engines
 * first.
 *
 * @param engines - The engines; none of them is in the cover.
 * @param options - The holders of each layer, the number of copies and the tokens in
 * flight to keep memory for.
 * @returns The orders.
 * @throws Nothing.
 * @example
 * const orders = assignWindows(engines, { cover, copies: 1, tokens, profile });
 */
export function assignWindows(
  engines: readonly DesignEngine[],
  options: {
    readonly cover: LayerCover;
    readonly copies: number;
    readonly tokens: number;
    readonly profile: ModelProfile;
  },
): LayerOrder[] {
  const { cover, copies, tokens, profile } = options;
  const { layers } = profile;
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
    const layerCapacity = getLayerCapacity(memoryMb, profile, { tokens });
    const window = chooser.choose({ stepFactor, layerCapacity });
    if (!window) continue;
    const { fromLayer, toLayer } = window;
    orders.push({ engineId, fromLayer, toLayer });
    chooser.add({ fromLayer, toLayer, stepFactor });
  }
  return orders;
}

/**
 * Gets the step factor that a layer without a holder counts with: ten times that of
 * the slowest card, so that no gain in speed outweighs a gap.
 *
 * @param factors - The step factors of the group's cards.
 * @returns The step factor.
 * @throws Nothing.
 * @example
 * getMissingFactor([2.4, 16]);
 */
export function getMissingFactor(factors: readonly number[]): number {
  return Math.max(1, ...factors) * MISSING_LAYER_RATIO;
}

// The sort is stable: engines with equal cards keep their order.
function sortBySpeed(engines: readonly DesignEngine[]): DesignEngine[] {
  return [...engines].sort((a, b) =>
    a.stepFactor - b.stepFactor || b.memoryMb - a.memoryMb
  );
}

/**
 * Lists the ranges that engines hold once they have executed orders.
 *
 * @param orders - The orders.
 * @param engines - The engines, including those that receive the orders.
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

// Fastest engines first, with the order of the copies reversed in each round, so
// that all copies get engines of similar speed.
function distributeEngines(
  engines: readonly DesignEngine[],
  count: number,
): DesignEngine[][] {
  const copies: DesignEngine[][] = Array.from({ length: count }, () => []);
  sortBySpeed(engines).forEach((engine, at) => {
    const round = Math.floor(at / count);
    const position = at % count;
    copies[round % 2 === 0 ? position : count - 1 - position].push(engine);
  });
  return copies;
}

interface RatedDesign extends CopyDesign {
  /** Stream rate: weighted mean of all engines running and one engine failed. */
  readonly rate: number;
}

function designCopy(
  engines: readonly DesignEngine[],
  profile: ModelProfile,
): RatedDesign | undefined {
  const maxTokens = findTokensInFlight(engines, profile);
  if (maxTokens === undefined) return undefined;
  const usableTokens = Math.min(
    maxTokens,
    profile.slots * getMeanRequestTokens(profile),
  );
  const designs = TOKEN_CAPACITY_SHARES.map((share) =>
    rateDesign(engines, { tokens: share * usableTokens, profile })
  );
  return designs.reduce((best, one) => one.rate > best.rate ? one : best);
}

function rateDesign(
  engines: readonly DesignEngine[],
  options: { tokens: number; profile: ModelProfile },
): RatedDesign {
  const { tokens, profile } = options;
  const cover = makeCover([], profile.layers);
  const orders = assignWindows(engines, {
    cover,
    copies: 1,
    tokens,
    profile,
  });
  const holders = listOrderHolders(orders, engines);
  const completeCover = makeCover(holders, profile.layers);
  const meanFactor = getMeanStepFactor(completeCover, profile);
  const factorsAfterFailure = holders.map((failed) =>
    meanFactor + getStepFactorIncrease(completeCover, failed) / profile.layers
  );
  const getRate = (factor: number) =>
    getStreamRate(factor, { tokens, profile });
  const rateAfterFailure =
    factorsAfterFailure.reduce((sum, one) => sum + getRate(one), 0) /
    Math.max(1, factorsAfterFailure.length);
  const rate = (1 - FAILURE_WEIGHT) * getRate(meanFactor) +
    FAILURE_WEIGHT * rateAfterFailure;
  return { tokens, orders, rate };
}

function getMeanStepFactor(
  cover: LayerCover,
  { layers }: ModelProfile,
): number {
  const factors = cover.map(([fastest = Infinity]) => fastest);
  return factors.reduce((sum, factor) => sum + factor, 0) / layers;
}

// Increase of the summed step factor of a holder's layers if that holder fails.
function getStepFactorIncrease(
  cover: LayerCover,
  failed: LayerHolder,
): number {
  return cover.slice(failed.fromLayer, failed.toLayer).reduce(
    (sum, [fastest, second = Infinity]) =>
      fastest === failed.stepFactor ? sum + second - fastest : sum,
    0,
  );
}

// Little's law: requests in flight divided by the time of a token. The length of the
// answers is the same for all designs and left out. Two standard deviations of the
// requests in flight stay free, since engines reject requests when they are full.
function getStreamRate(
  meanFactor: number,
  { tokens, profile }: { tokens: number; profile: ModelProfile },
): number {
  const maxRequests = tokens / getMeanRequestTokens(profile);
  const requests = Math.max(
    0,
    Math.min(profile.slots, maxRequests - 2 * Math.sqrt(maxRequests)),
  );
  return requests / (meanFactor * getBatchStepMs(profile, { requests }));
}

/**
 * Gets the time of a token step of a batch with all layers on the fastest card.
 *
 * @param profile - Layer sizes, load and step times of the model.
 * @param options - Number of requests that run at once.
 * @returns The time in ms.
 * @throws Nothing.
 * @example
 * getBatchStepMs(profile, { requests: 40 });
 */
export function getBatchStepMs(
  profile: StepProfile,
  options: { readonly requests: number },
): number {
  const { stepMs, requestStepMs, contextStepMs } = profile;
  const contextMs = getMeanRequestTokens(profile) * contextStepMs;
  return stepMs + options.requests * (requestStepMs + contextMs);
}

/**
 * Gets the mean number of tokens that a request holds in memory when it ends.
 *
 * @param profile - Layer sizes, load and step times of the model.
 * @returns The number of tokens, at least one.
 * @throws Nothing.
 * @example
 * getMeanRequestTokens(profile);
 */
export function getMeanRequestTokens(
  profile: Pick<ModelProfile, "usualPromptTokens" | "usualAnswerTokens">,
): number {
  return Math.max(1, profile.usualPromptTokens + profile.usualAnswerTokens);
}
