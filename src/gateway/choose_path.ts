/**
 * Chooses the path of a request over engines that hold layers.
 *
 * @module
 */

import { findLayerPath, type PathEngine } from "../layers/index.ts";
import type { LayeredModel } from "../routes/index.ts";
import type { EngineView } from "./create_engine_table.ts";
import type { AddressedPart } from "./protocol.ts";

/** What the choice goes by. */
export interface ChoosePathOptions {
  readonly model: LayeredModel;
  readonly place: string;
  /** Gateways that send over the same engines. */
  readonly gatewayCount: number;
  /** Engines that may not be used. */
  readonly excluded: ReadonlySet<string>;
  /** Layer at which the path begins; 0 by default. */
  readonly fromLayer?: number;
}

/** Parts that engines take in one path. */
const MAX_PARTS = 32;

/** Cost of a hop, in ms for each token: a round on a local network. */
const HOP_COST_MS = 0.3;

/** Cost, on top, into another data centre: its delay and the shared pipe. */
const PLACE_COST_MS = 4;

/** Share of an engine's memory for requests above which it costs more. */
const BUSY_SHARE = 0.6;

/** Factor on an engine's cost where its memory for requests is full. */
const FULL_FACTOR = 8;

/** Factor on an engine's cost where all its answers failed. */
const FAILURE_FACTOR = 10;

const BYTES_PER_MB = 1e6;

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
  const { model, place, excluded, fromLayer } = options;
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
      placeCost: PLACE_COST_MS,
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
  const { record, failureShare } = view;
  const { model, gatewayCount } = options;
  const { engineId, place } = record;
  const range = record.layers ?? { fromLayer: 0, toLayer: 0 };
  const card = model.cards.find(({ name }) => name === record.card);
  const stepMs = model.stepMs * (card?.stepFactor ?? 1) / model.layers;
  const room = getTokenRoom(view, model);
  const used = view.tokensInFlight * gatewayCount / Math.max(1, room);
  const busy = Math.min(1, Math.max(0, used - BUSY_SHARE) / (1 - BUSY_SHARE));
  const layerCost = stepMs * (1 + busy * FULL_FACTOR) *
    (1 + failureShare * FAILURE_FACTOR);
  const mayBeFirst = view.inFlight * gatewayCount < record.slots;
  return { engineId, place, ...range, layerCost, mayBeFirst };
}

/**
 * Tokens for which an engine has memory beside its layers.
 *
 * @param view - The engine.
 * @param model - The model of which it holds layers.
 * @returns Tokens in flight.
 * @throws Nothing.
 * @example
 * const tokens = getTokenRoom(view, model);
 */
export function getTokenRoom(view: EngineView, model: LayeredModel): number {
  const { layers, card: cardName } = view.record;
  const card = model.cards.find(({ name }) => name === cardName);
  if (!layers || !card) return 0;
  const count = layers.toLayer - layers.fromLayer;
  const freeMb = card.memoryMb - count * model.layerMb;
  const tokenMb = model.kvTokenBytes * count / model.layers / BYTES_PER_MB;
  return Math.max(0, freeMb / tokenMb);
}
