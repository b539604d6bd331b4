/**
 * Chooses the path of a request over engines that hold layers.
 *
 * @module
 */

import { NEW_WORK_SHARE } from "../admission/index.ts";
import {
  findLayerPath,
  getBatchStepMs,
  getMeanRequestTokens,
  getTokenCapacity,
  type PathEngine,
} from "../layers/index.ts";
import type { LayeredModel } from "../routes/index.ts";
import {
  type EngineView,
  getFailureShare,
  getSlowness,
} from "./engine_view.ts";
import type { EstimatedWork } from "./estimate_other_work.ts";
import type { AddressedPart } from "./protocol.ts";

/** What the choice depends on. */
export interface ChoosePathOptions {
  readonly model: LayeredModel;
  readonly place: string;
  /** Gateways that serve callers; all of them may send at the same moment. */
  readonly gatewayCount: number;
  /**
   * Upper bound on the requests that all other gateways together may have started since
   * the last load report; unbounded by default.
   */
  readonly maxUnreportedRequests?: number;
  /** Whether an idle connection to an engine is open; true for all by default. */
  readonly hasIdleConnection?: (engineId: string) => boolean;
  /** Estimated work of other gateways beyond the last report; none by default. */
  readonly expected?: EstimatedWork;
  /**
   * Draws a number in [0, 1) for each engine while no loads are known, so that gateways
   * with equally little knowledge make different choices. Not used by default.
   */
  readonly drawRandomCost?: () => number;
  /** Engines that may not be used. */
  readonly excluded: ReadonlySet<string>;
  /** Whether a path may start at an engine; true for all by default. */
  readonly canStartAt?: (engineId: string) => boolean;
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Whether a path may continue in another data centre; true by default. */
  readonly mayCrossPlaces?: boolean;
  /** What the request needs; by default the engines decide whether it fits. */
  readonly need?: PathNeed;
  /** Layer at which the path starts; 0 by default. */
  readonly fromLayer?: number;
  /** Engines that have already read the request; none by default. */
  readonly cachedEngineIds?: ReadonlySet<string>;
}

/** What a request needs on the engines of its path. */
export interface PathNeed {
  readonly tokens: number;
  /** Whether it is a new request rather than a stream that is resumed. */
  readonly isNew: boolean;
  /**
   * Share of an engine's request memory, and of its slots, up to which a new request
   * may fill it; `NEW_WORK_SHARE` by default.
   */
  readonly maxShare?: number;
}

/** Parts that engines accept in one path. */
const MAX_PARTS = 32;

/** Cost of a hop, in ms per token: a round trip on a local network. */
const HOP_COST_MS = 0.3;

/**
 * Additional cost, in ms per token, of a first engine in another data centre: the delay
 * between data centres, which events cross once, and a margin against oscillation.
 */
const ENTRY_PLACE_COST_MS = 2;

/**
 * Additional cost, in ms per token, of continuing in another data centre: a prompt's
 * activations are thousands of times larger than the prompt, and all requests share one
 * link.
 */
const CROSS_PLACE_COST_MS = 12;

/**
 * Standard deviations of random growth of a gateway's own requests that are ignored;
 * the requests are taken as independent arrivals. Without this allowance, nine gateways
 * that each multiply their own growth by the number of gateways see a copy as full
 * through random variation: mean score over five days with faults 0.473 instead of
 * 0.489.
 */
const RANDOM_GROWTH_DEVIATIONS = 2;

/**
 * Upper bound on an engine's part of the requests that other gateways started since the
 * last report, as a multiple of its share of all requests. With 200 gateways, one
 * request more than random variation explains would otherwise count for 199 others: of
 * 1,000 windows of half a second at a steady 1.2 requests per second and gateway, 3
 * would make a half-empty copy look full (choose_path_test.ts).
 */
const MAX_GROWTH_CONCENTRATION = 2;

/**
 * Share of an engine's request memory up to which its cost rises as in a queue: by one
 * over the remaining share.
 */
const MAX_QUEUE_COST_SHARE = 0.95;

/**
 * Share of an engine's memory, and of its slots, up to which resumed streams are sent
 * to it. The usage counted here is what requests usually end up needing.
 */
const RESUMED_WORK_SHARE = 1.1;

/** Share of an engine's used slots above which its cost as the first engine rises. */
const BUSY_SLOTS_SHARE = 0.4;

/**
 * Cost, in ms per token, of a first engine's share of used slots: more than the
 * difference between the copies of a data centre, less than the cost of leaving it.
 */
const SLOTS_COST_MS = 4;

/** Cost, in ms per token, of a first engine whose slots are all in use. */
const FULL_SLOTS_COST_MS = 40;

/**
 * Cost, in ms per token, of a first engine for each prompt of this gateway that it is
 * reading. When an engine is lost, all its streams are resumed at the same moment: some
 * of them answer sooner on a farther copy than all of them on the nearest.
 */
const PREFILLING_PROMPT_COST_MS = 1;

/**
 * Cost, in ms per token, of a first engine without an idle connection: a round trip on
 * a local network, as for a hop. Among equal engines a gateway stays with those that it
 * already uses, up to a difference of some ten streams in their load.
 */
const NEW_CONNECTION_COST_MS = 0.3;

/** Factor on the cost of an engine that has just rejected a request as full. */
const REFUSED_FACTOR = 100;

/**
 * Share of an engine's cost that is added at random while no loads are known. After a
 * power loss on all machines, 78 gateways came back within half a second and sent all
 * queued requests to the engines that looked cheapest to each of them. In a model of 78
 * gateways and twelve equal copies, the busiest copy gets 1.8 times the mean of 1,014
 * streams without the random cost and 1.0 times with it (choose_path_test.ts).
 */
const RANDOM_COST_SHARE = 1;

/**
 * Factor on the cost of an engine that has already read the request: any other engine
 * would have to read all its tokens again, and needs memory for them.
 */
const CACHED_FACTOR = 0.1;

/** Factor on the cost of an engine all of whose answers failed. */
const FAILURE_FACTOR = 10;

/**
 * Chooses the path with the least expected time per token.
 *
 * @param engines - The engines that accept new work.
 * @param options - The model, the gateway's data centre, the excluded engines.
 * @returns The parts with addresses, or undefined where no path has all layers.
 * @throws Nothing.
 * @example
 * const path = choosePath(table.listUsable(service), options);
 */
export function choosePath(
  engines: readonly EngineView[],
  options: ChoosePathOptions,
): AddressedPart[] | undefined {
  const { model, place, excluded, fromLayer, mayCrossPlaces = true } = options;
  const layered = engines.filter(({ record }) => record.layers !== undefined);
  const getMaxGrowth = createGrowthLimit(layered, options);
  const usable = layered
    .filter(({ record }) => !excluded.has(record.engineId))
    .map((view) => ({
      view,
      usage: getUsage(view, options, getMaxGrowth(view)),
    }))
    .filter(({ view, usage }) =>
      hasCachedRequest(view, options) || hasCapacity(usage, options.need)
    );
  const views = new Map(usable.map(({ view }) => [view.record.engineId, view]));
  const path = findLayerPath(
    usable.map(({ view, usage }) => describeEngine(view, usage, options)),
    {
      layers: model.layers,
      fromLayer,
      place,
      hopCost: HOP_COST_MS,
      entryPlaceCost: ENTRY_PLACE_COST_MS,
      placeCost: mayCrossPlaces ? CROSS_PLACE_COST_MS : undefined,
      maxParts: MAX_PARTS,
    },
  );
  return path?.map((part) => ({
    ...part,
    address: views.get(part.engineId)?.record.address ?? "",
  }));
}

function describeEngine(
  view: EngineView,
  usage: EngineUsage,
  options: ChoosePathOptions,
): PathEngine {
  const { record } = view;
  const { model, nowMs } = options;
  const failureShare = getFailureShare(view, nowMs);
  const { engineId, place } = record;
  const range = record.layers ?? { fromLayer: 0, toLayer: 0 };
  const card = model.cards.find(({ name }) => name === record.card);
  const { usedTokens, capacityTokens } = usage;
  const requests = usedTokens / getMeanRequestTokens(model);
  const stepMs = getBatchStepMs(model, { requests }) *
    (card?.stepFactor ?? 1) * getSlowness(view, nowMs) / model.layers;
  const usedMemory = usedTokens / Math.max(1, capacityTokens);
  const isFull = view.fullUntilMs > nowMs;
  const randomCost = RANDOM_COST_SHARE * (options.drawRandomCost?.() ?? 0);
  const layerCost = stepMs / (1 - Math.min(usedMemory, MAX_QUEUE_COST_SHARE)) *
    (1 + failureShare * FAILURE_FACTOR) * (isFull ? REFUSED_FACTOR : 1) *
    (1 + randomCost) * (hasCachedRequest(view, options) ? CACHED_FACTOR : 1);
  const firstCost = range.fromLayer === 0
    ? getFirstCost(view, usage, options)
    : undefined;
  return { engineId, place, ...range, layerCost, firstCost };
}

function hasCachedRequest(
  { record }: EngineView,
  { cachedEngineIds }: ChoosePathOptions,
): boolean {
  return cachedEngineIds?.has(record.engineId) ?? false;
}

function getFirstCost(
  { prefillingPrompts, record }: EngineView,
  { usedSlotsShare }: EngineUsage,
  { need, hasIdleConnection, canStartAt }: ChoosePathOptions,
): number | undefined {
  if (canStartAt?.(record.engineId) === false) return undefined;
  if (need && usedSlotsShare >= getUsableShare(need)) return undefined;
  const isConnected = hasIdleConnection?.(record.engineId) ?? true;
  return FULL_SLOTS_COST_MS * getExcess(usedSlotsShare, BUSY_SLOTS_SHARE) +
    SLOTS_COST_MS * usedSlotsShare +
    PREFILLING_PROMPT_COST_MS * prefillingPrompts +
    (isConnected ? 0 : NEW_CONNECTION_COST_MS);
}

/** Work of all gateways on an engine, as far as it is known. */
interface EngineUsage {
  readonly usedTokens: number;
  /** Tokens that fit into its memory. */
  readonly capacityTokens: number;
  /** Share of its slots used by requests that start there. */
  readonly usedSlotsShare: number;
}

// Assumes that the requests started by other gateways are distributed over engines as
// their reported ones are. An engine with few reported requests may get an even share.
function createGrowthLimit(
  holders: readonly EngineView[],
  { model, maxUnreportedRequests = Infinity }: ChoosePathOptions,
): (view: EngineView) => number {
  if (maxUnreportedRequests === Infinity) return () => Infinity;
  const allRequests = holders
    .reduce((sum, { otherRequests }) => sum + otherRequests, 0);
  const firstHolders = holders
    .filter(({ record }) => record.layers?.fromLayer === 0).length;
  const evenShare = 1 / Math.max(1, firstHolders);
  return ({ otherTokens }) => {
    const requests = otherTokens / getMeanRequestTokens(model);
    const share = Math.max(evenShare, requests / Math.max(1, allRequests));
    return maxUnreportedRequests *
      Math.min(1, MAX_GROWTH_CONCENTRATION * share);
  };
}

// The work of other gateways is known with a delay. Where this gateway has taken on
// more since the last report than random variation explains, as when a copy is lost,
// the others are assumed to have done the same, but at most as much as there was to
// start.
function getUsage(
  view: EngineView,
  options: ChoosePathOptions,
  maxUnreportedRequests: number,
): EngineUsage {
  const { model, gatewayCount } = options;
  const { tokensInFlight, tokensAtReport } = view;
  const usualTokens = getMeanRequestTokens(model);
  const requestsAtReport = tokensAtReport / usualTokens;
  const randomGrowth = RANDOM_GROWTH_DEVIATIONS *
    Math.sqrt(requestsAtReport + 1);
  const surge = Math.max(
    0,
    tokensInFlight / usualTokens - requestsAtReport - randomGrowth,
  );
  const growth = Math.min(surge * (gatewayCount - 1), maxUnreportedRequests);
  const othersWork = estimateOthersWork(view, options.expected);
  const requests = view.inFlight + (othersWork.requests + growth);
  return {
    usedTokens: tokensInFlight + (othersWork.tokens + growth * usualTokens),
    capacityTokens: getEngineTokenCapacity(view, model),
    usedSlotsShare: requests / view.record.slots,
  };
}

function estimateOthersWork(
  { record, otherTokens, otherRequests }: EngineView,
  expected: EstimatedWork | undefined,
): { tokens: number; requests: number } {
  const runningShare = 1 - (expected?.endedShare ?? 0);
  const begun = expected?.begun[record.engineId];
  return {
    tokens: otherTokens * runningShare + (begun?.tokens ?? 0),
    requests: otherRequests * runningShare + (begun?.requests ?? 0),
  };
}

function hasCapacity(
  { usedTokens, capacityTokens }: EngineUsage,
  need: PathNeed | undefined,
): boolean {
  if (!need) return true;
  return usedTokens + need.tokens <= capacityTokens * getUsableShare(need);
}

function getUsableShare(
  { isNew, maxShare = NEW_WORK_SHARE }: PathNeed,
): number {
  return isNew ? maxShare : RESUMED_WORK_SHARE;
}

/** How far a share exceeds a threshold: 0 below it, 1 at a share of 1, more above. */
function getExcess(share: number, threshold: number): number {
  return Math.max(0, share - threshold) / (1 - threshold);
}

function getEngineTokenCapacity(
  { record }: EngineView,
  model: LayeredModel,
): number {
  const { layers, card: cardName } = record;
  const card = model.cards.find(({ name }) => name === cardName);
  if (!layers || !card) return 0;
  const layerCount = layers.toLayer - layers.fromLayer;
  return getTokenCapacity(card.memoryMb, model, { layerCount });
}
