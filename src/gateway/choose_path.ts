/**
 * Chooses the path of a request over engines that hold layers.
 *
 * @module
 */

import {
  findLayerPath,
  getBatchStepMs,
  getTokenRoom,
  getUsualTokens,
  type PathEngine,
} from "../layers/index.ts";
import type { LayeredModel } from "../routes/index.ts";
import {
  type EngineView,
  getFailureShare,
  getSlowness,
} from "./engine_view.ts";
import type { ExpectedWork } from "./expect_others.ts";
import type { AddressedPart } from "./protocol.ts";

/** What the choice goes by. */
export interface ChoosePathOptions {
  readonly model: LayeredModel;
  readonly place: string;
  /** Gateways that take callers; they may all send in the same moment. */
  readonly gatewayCount: number;
  /**
   * Requests that the other gateways may have begun, all together, since the
   * leader told of their loads; unbounded by default.
   */
  readonly mostGrowth?: number;
  /** Whether a connection to an engine stands idle; all do by default. */
  readonly hasIdleConnection?: (engineId: string) => boolean;
  /** What the others have, beside what was told; nothing by default. */
  readonly expected?: ExpectedWork;
  /**
   * A number in [0, 1), drawn for each engine where nobody's loads are known: who
   * knows as little as all others must not choose as they do. Not drawn by default.
   */
  readonly drawBlindly?: () => number;
  /** Engines that may not be used. */
  readonly excluded: ReadonlySet<string>;
  /** Whether a path may begin at an engine; by default it may at any. */
  readonly mayBegin?: (engineId: string) => boolean;
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Whether a path may leave a data centre on the way; by default it may. */
  readonly mayCross?: boolean;
  /** What the request needs; by default engines decide whether it fits in. */
  readonly need?: PathNeed;
  /** Layer at which the path begins; 0 by default. */
  readonly fromLayer?: number;
  /** Engines that have read the request already; none by default. */
  readonly holders?: ReadonlySet<string>;
}

/** What a request needs on the engines of its path. */
export interface PathNeed {
  readonly tokens: number;
  /** Whether it is a new request, not a stream that goes on. */
  readonly isNew: boolean;
}

/** Parts that engines take in one path. */
const MAX_PARTS = 32;

/** Cost of a hop, in ms for each token: a round on a local network. */
const HOP_COST_MS = 0.3;

/**
 * Cost, on top, of a first engine in another data centre: events cross once,
 * so it is the delay between data centres and a margin against swinging.
 */
const ENTRY_PLACE_COST_MS = 2;

/**
 * Cost, on top, of leaving a data centre on the way: a prompt's activations
 * are thousands of times larger than the prompt, and all share one pipe.
 */
const PLACE_COST_MS = 12;

/**
 * Share of an engine's memory for requests, and of its slots, that new requests
 * may fill. The rest is for streams that go on, for answers longer than usual,
 * and for what others have begun since they last told: an engine that runs out
 * cuts the newest stream off. Mean worth of five days with trouble on 38 engines,
 * single plays: 0.489 where engines alone decide, 0.499 with 0.9 and a cost that
 * rises from 0.6 of the memory on, 0.518 with 0.95 and the cost of a queue.
 */
const NEW_WORK_SHARE = 0.95;

/**
 * Standard deviations by which a gateway's own requests grow by chance: their
 * number is counted as that of arrivals that don't know of each other. Without
 * them, nine gateways that each count their own growth for all fill a copy by
 * chance: mean worth of five days with trouble 0.473 in place of 0.489.
 */
const CHANCE_DEVIATIONS = 2;

/**
 * Times its share of all requests that an engine may have got of those that
 * others began since they were last counted. With 200 gateways one request more
 * than chance explains would else count for 199 others: of 1,000 windows of half
 * a second at an even 1.2 requests a second and gateway, 3 make a copy look full
 * that is half empty (choose_path_test.ts).
 */
const CONCENTRATION = 2;

/**
 * Share of an engine's memory for requests up to which it costs more and more,
 * as a queue does: by one over what is left.
 */
const MOST_USED_SHARE = 0.95;

/**
 * Share of an engine's memory, and of its slots, up to which streams that go on
 * are sent there. What is counted here is what requests usually come to need.
 */
const RESUMED_WORK_SHARE = 1.1;

/** Share of an engine's slots above which it costs more as the first. */
const BUSY_SLOTS_SHARE = 0.4;

/**
 * Cost of a first engine's share of taken slots, in ms for each token: more than
 * copies of a data centre differ, less than leaving it costs.
 */
const SLOTS_COST_MS = 4;

/** Cost of a first engine whose slots are all taken, in ms for each token. */
const FULL_SLOTS_COST_MS = 40;

/**
 * Cost of a first engine for each prompt of this gateway that is being read
 * there. When an engine is lost, its streams all go on elsewhere in one moment:
 * some of them on a farther copy come sooner than all on the nearest.
 */
const UNREAD_PROMPT_COST_MS = 1;

/**
 * Cost of a first engine to which no connection stands idle: a round on a local
 * network, as a hop. Of engines that are alike a gateway stays with those that it
 * uses, up to some ten streams' difference in their load.
 */
const NEW_CONNECTION_COST_MS = 0.3;

/** Factor on the cost of an engine that has just refused for want of room. */
const REFUSED_FACTOR = 100;

/**
 * Share of an engine's cost that is drawn on top where nobody's loads are known.
 * When all machines had lost power, 78 gateways came back within half a second and
 * sent what had waited to the engines that looked cheapest to all of them. In a
 * model of 78 gateways before twelve alike copies the busiest copy gets 1.8 times
 * the mean of 1,014 streams without it and 1.0 times with it (choose_path_test.ts).
 */
const BLIND_COST_SHARE = 1;

/**
 * Factor on the cost of an engine that has read the request already: another one would
 * read all its tokens anew, and needs memory for them.
 */
const HOLDER_FACTOR = 0.1;

/** Factor on an engine's cost where all its answers failed. */
const FAILURE_FACTOR = 10;

/**
 * Chooses the path with the least expected time for a token.
 *
 * @param engines - The engines that take new work.
 * @param options - The model, the gateway's place, who is excluded.
 * @returns The parts with addresses, or undefined where layers are missing.
 * @throws Nothing.
 * @example
 * const path = choosePath(table.listUsable(service), options);
 */
export function choosePath(
  engines: readonly EngineView[],
  options: ChoosePathOptions,
): AddressedPart[] | undefined {
  const { model, place, excluded, fromLayer, mayCross = true } = options;
  const layered = engines.filter(({ record }) => record.layers !== undefined);
  const getMostGrowth = createGrowthBound(layered, options);
  const usable = layered
    .filter(({ record }) => !excluded.has(record.engineId))
    .map((view) => ({
      view,
      usage: getUsage(view, options, getMostGrowth(view)),
    }))
    .filter(({ view, usage }) =>
      isHolder(view, options) || hasRoom(usage, options.need)
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
      placeCost: mayCross ? PLACE_COST_MS : undefined,
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
  const { usedTokens, roomTokens } = usage;
  const requests = usedTokens / getUsualTokens(model);
  const stepMs = getBatchStepMs(model, { requests }) *
    (card?.stepFactor ?? 1) * getSlowness(view, nowMs) / model.layers;
  const usedMemory = usedTokens / Math.max(1, roomTokens);
  const isFull = view.fullUntilMs > nowMs;
  const blindCost = BLIND_COST_SHARE * (options.drawBlindly?.() ?? 0);
  const layerCost = stepMs / (1 - Math.min(usedMemory, MOST_USED_SHARE)) *
    (1 + failureShare * FAILURE_FACTOR) * (isFull ? REFUSED_FACTOR : 1) *
    (1 + blindCost) * (isHolder(view, options) ? HOLDER_FACTOR : 1);
  const firstCost = range.fromLayer === 0
    ? getFirstCost(view, usage, options)
    : undefined;
  return { engineId, place, ...range, layerCost, firstCost };
}

function isHolder(
  { record }: EngineView,
  { holders }: ChoosePathOptions,
): boolean {
  return holders?.has(record.engineId) ?? false;
}

function getFirstCost(
  { unreadPrompts, record }: EngineView,
  { usedSlotsShare }: EngineUsage,
  { need, hasIdleConnection, mayBegin }: ChoosePathOptions,
): number | undefined {
  if (mayBegin?.(record.engineId) === false) return undefined;
  if (need && usedSlotsShare >= getUsableShare(need)) return undefined;
  const isConnected = hasIdleConnection?.(record.engineId) ?? true;
  return FULL_SLOTS_COST_MS * getExcess(usedSlotsShare, BUSY_SLOTS_SHARE) +
    SLOTS_COST_MS * usedSlotsShare + UNREAD_PROMPT_COST_MS * unreadPrompts +
    (isConnected ? 0 : NEW_CONNECTION_COST_MS);
}

/** What all gateways together have on an engine, as far as it is known. */
interface EngineUsage {
  readonly usedTokens: number;
  /** Tokens for which it has memory. */
  readonly roomTokens: number;
  /** Share of its slots that requests take that begin there. */
  readonly usedSlotsShare: number;
}

// What the others began spreads over engines as what they have in flight does; an
// engine on which they have little may get an even part.
function createGrowthBound(
  holders: readonly EngineView[],
  { model, mostGrowth = Infinity }: ChoosePathOptions,
): (view: EngineView) => number {
  if (mostGrowth === Infinity) return () => Infinity;
  const allRequests = holders
    .reduce((sum, { otherRequests }) => sum + otherRequests, 0);
  const firstHolders = holders
    .filter(({ record }) => record.layers?.fromLayer === 0).length;
  const evenShare = 1 / Math.max(1, firstHolders);
  return ({ otherTokens }) => {
    const requests = otherTokens / getUsualTokens(model);
    const share = Math.max(evenShare, requests / Math.max(1, allRequests));
    return mostGrowth * Math.min(1, CONCENTRATION * share);
  };
}

// The other gateways' work is known with a lag. Where this one has taken on more
// since then than chance explains, as when a copy is lost, the others have too,
// but no more than there was to begin.
function getUsage(
  view: EngineView,
  options: ChoosePathOptions,
  mostGrowth: number,
): EngineUsage {
  const { model, gatewayCount } = options;
  const { tokensInFlight, tokensThen } = view;
  const usualTokens = getUsualTokens(model);
  const then = tokensThen / usualTokens;
  const chance = CHANCE_DEVIATIONS * Math.sqrt(then + 1);
  const surge = Math.max(0, tokensInFlight / usualTokens - then - chance);
  const others = Math.min(surge * (gatewayCount - 1), mostGrowth);
  const told = getToldWork(view, options.expected);
  const requests = view.inFlight + (told.requests + others);
  return {
    usedTokens: tokensInFlight + (told.tokens + others * usualTokens),
    roomTokens: getRoom(view, model),
    usedSlotsShare: requests / view.record.slots,
  };
}

function getToldWork(
  { record, otherTokens, otherRequests }: EngineView,
  expected: ExpectedWork | undefined,
): { tokens: number; requests: number } {
  const keptShare = 1 - (expected?.endedShare ?? 0);
  const begun = expected?.begun[record.engineId];
  return {
    tokens: otherTokens * keptShare + (begun?.tokens ?? 0),
    requests: otherRequests * keptShare + (begun?.requests ?? 0),
  };
}

function hasRoom(
  { usedTokens, roomTokens }: EngineUsage,
  need: PathNeed | undefined,
): boolean {
  if (!need) return true;
  return usedTokens + need.tokens <= roomTokens * getUsableShare(need);
}

function getUsableShare({ isNew }: PathNeed): number {
  return isNew ? NEW_WORK_SHARE : RESUMED_WORK_SHARE;
}

/** How far a share is above a threshold: 0 below it, 1 at the whole, and on. */
function getExcess(share: number, threshold: number): number {
  return Math.max(0, share - threshold) / (1 - threshold);
}

function getRoom({ record }: EngineView, model: LayeredModel): number {
  const { layers, card: cardName } = record;
  const card = model.cards.find(({ name }) => name === cardName);
  if (!layers || !card) return 0;
  const layerCount = layers.toLayer - layers.fromLayer;
  return getTokenRoom(card.memoryMb, model, { layerCount });
}
