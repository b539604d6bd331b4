/**
 * Chooses the path of a request over engines that hold layers.
 *
 * @module
 */

import {
  findLayerPath,
  getTokenRoom,
  type PathEngine,
} from "../layers/index.ts";
import type { LayeredModel } from "../routes/index.ts";
import { type EngineView, getFailureShare } from "./create_engine_table.ts";
import type { AddressedPart } from "./protocol.ts";

/** What the choice goes by. */
export interface ChoosePathOptions {
  readonly model: LayeredModel;
  readonly place: string;
  /** Gateways of this place; they may all send in the same moment. */
  readonly gatewayCount: number;
  /** Engines that may not be used. */
  readonly excluded: ReadonlySet<string>;
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Whether a path may leave a data centre on the way; by default it may. */
  readonly mayCross?: boolean;
  /** Layer at which the path begins; 0 by default. */
  readonly fromLayer?: number;
}

/** Parts that engines take in one path. */
const MAX_PARTS = 32;

/** Cost of a hop, in ms for each token: a round on a local network. */
const HOP_COST_MS = 0.3;

/**
 * Cost, on top, of a first engine in another data centre: its delay, and more
 * than copies differ in pace while they are calm.
 */
const ENTRY_PLACE_COST_MS = 6;

/**
 * Cost, on top, of leaving a data centre on the way: a prompt's activations
 * are thousands of times larger than the prompt, and all share one pipe.
 */
const PLACE_COST_MS = 12;

/** Share of an engine's memory for requests above which it costs more. */
const BUSY_SHARE = 0.6;

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

/** Factor on an engine's cost where its memory for requests is full. */
const FULL_FACTOR = 8;

/** Factor on the cost of an engine that has just refused for want of room. */
const REFUSED_FACTOR = 100;

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
  const usable = engines.filter(({ record }) =>
    record.layers !== undefined && !excluded.has(record.engineId)
  );
  const views = new Map(usable.map((view) => [view.record.engineId, view]));
  const path = findLayerPath(
    usable.map((view) => describeEngine(view, options)),
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
  options: ChoosePathOptions,
): PathEngine {
  const { record } = view;
  const { model, nowMs } = options;
  const failureShare = getFailureShare(view, nowMs);
  const { engineId, place } = record;
  const range = record.layers ?? { fromLayer: 0, toLayer: 0 };
  const card = model.cards.find(({ name }) => name === record.card);
  const stepMs = model.stepMs * (card?.stepFactor ?? 1) *
    (record.slowness ?? 1) / model.layers;
  const busy = getExcess(getUsedMemory(view, options), BUSY_SHARE);
  const isFull = view.fullUntilMs > nowMs;
  const layerCost = stepMs * (1 + busy * FULL_FACTOR) *
    (1 + failureShare * FAILURE_FACTOR) * (isFull ? REFUSED_FACTOR : 1);
  const usedSlots = getUsedSlots(view, options);
  const firstCost =
    FULL_SLOTS_COST_MS * getExcess(usedSlots, BUSY_SLOTS_SHARE) +
    SLOTS_COST_MS * usedSlots +
    UNREAD_PROMPT_COST_MS * view.unreadPrompts;
  return { engineId, place, ...range, layerCost, firstCost };
}

// The other gateways' work is known with a lag: what this one has in flight
// stands for what its neighbours take on in the same moment.
function getUsedMemory(view: EngineView, options: ChoosePathOptions): number {
  const { tokensInFlight, otherTokens } = view;
  const told = tokensInFlight + otherTokens;
  const alike = tokensInFlight * options.gatewayCount;
  return Math.max(told, alike) / Math.max(1, getRoom(view, options.model));
}

function getUsedSlots(view: EngineView, options: ChoosePathOptions): number {
  const { inFlight, otherRequests, record } = view;
  const told = inFlight + otherRequests;
  return Math.max(told, inFlight * options.gatewayCount) / record.slots;
}

/** How far a share is above a threshold: 0 below it, 1 at the whole. */
function getExcess(share: number, threshold: number): number {
  return Math.min(1, Math.max(0, share - threshold) / (1 - threshold));
}

function getRoom({ record }: EngineView, model: LayeredModel): number {
  const { layers, card: cardName } = record;
  const card = model.cards.find(({ name }) => name === cardName);
  if (!layers || !card) return 0;
  const layerCount = layers.toLayer - layers.fromLayer;
  return getTokenRoom(card.memoryMb, model, { layerCount });
}
