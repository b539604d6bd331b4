/**
 * Keeps the layers of each model on its engines: plans, orders, waits, and
 * plans again.
 *
 * @module
 */

import type { EngineRecord, LayerRange } from "../engines/index.ts";
import {
  type LayerEngine,
  type LayerOrder,
  planLayerOrders,
} from "../layers/index.ts";
import type { Logger } from "../logs/index.ts";
import type { LayeredModel, Service } from "../routes/index.ts";

/** What an engine says to an order. */
export type OrderAnswer = "begun" | "held" | "conflict" | "refused" | "unknown";

/** Sends an order to hold a range of layers. */
export type SendLayerOrder = (
  engine: EngineRecord,
  range: LayerRange,
) => Promise<OrderAnswer>;

/** What the keeper needs of its program. */
export interface CreateLayerKeeperOptions {
  readonly getServices: () => readonly Service[];
  readonly getEngines: () => readonly EngineRecord[];
  readonly sendOrder: SendLayerOrder;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
}

/** Keeps the layers of each model on its engines. */
export interface LayerKeeper {
  /** Forgets the orders under way: a new leader goes by what engines tell. */
  reset(): void;
  /** Looks once at all models. */
  run(): Promise<void>;
}

interface OrderUnderWay {
  readonly range: LayerRange;
  readonly untilMs: number;
}

/** Ms without a new engine before the first spread: all have registered. */
const FIRST_SPREAD_QUIET_MS = 700;

/** Ms that a gap waits for an empty engine before a copy is spread anew. */
const RESPREAD_AFTER_MS = 7_000;

/** Ms, on top of the load, in which an engine's beat tells of a new range. */
const ORDER_SLACK_MS = 4_000;

/**
 * Makes the keeper.
 *
 * @param options - The services, the engines, how orders are sent.
 * @returns The keeper.
 * @throws Nothing.
 * @example
 * const keeper = createLayerKeeper(options);
 */
export function createLayerKeeper(
  options: CreateLayerKeeperOptions,
): LayerKeeper {
  const { now, log } = options;
  let underWay = new Map<string, OrderUnderWay>();
  let gapSinceMs = new Map<string, number>();
  let knownIds = "";
  let newestMs = now();

  function noteNewEngines(engines: readonly EngineRecord[]): void {
    const ids = engines.map(({ engineId }) => engineId).sort().join(" ");
    if (ids !== knownIds) newestMs = now();
    knownIds = ids;
  }

  async function run(): Promise<void> {
    const engines = options.getEngines();
    noteNewEngines(engines);
    for (const service of options.getServices()) {
      if (!service.model) continue;
      const members = engines.filter((engine) =>
        engine.service === service.name
      );
      await keepModel(service, members);
    }
  }

  async function keepModel(
    service: Service,
    members: readonly EngineRecord[],
  ): Promise<void> {
    const model = service.model as LayeredModel;
    forgetEnded(members);
    const engines = members
      .filter((engine) => !engine.isLeaving)
      .flatMap((engine) => describeEngine(engine, model));
    const isFirst = engines.every((engine) => engine.range === undefined);
    if (isFirst && now() - newestMs < FIRST_SPREAD_QUIET_MS) return;
    const gaps = new Map<string, number>();
    const mayRespread = (place: string): boolean => {
      const key = `${service.name} ${place}`;
      const sinceMs = gapSinceMs.get(key) ?? now();
      gaps.set(key, sinceMs);
      return now() - sinceMs >= RESPREAD_AFTER_MS;
    };
    const orders = planLayerOrders(engines, { figures: model, mayRespread });
    gapSinceMs = gaps;
    await Promise.all(orders.map((order) => give(order, { members, model })));
  }

  function describeEngine(
    engine: EngineRecord,
    model: LayeredModel,
  ): LayerEngine[] {
    const card = model.cards.find(({ name }) => name === engine.card);
    if (!card) return [];
    const range = underWay.get(engine.engineId)?.range ?? engine.layers;
    const { engineId, place } = engine;
    return [{ engineId, place, memoryMb: card.memoryMb, range }];
  }

  function forgetEnded(members: readonly EngineRecord[]): void {
    const next = new Map(underWay);
    for (const engine of members) {
      const order = underWay.get(engine.engineId);
      if (!order) continue;
      const isDone = isSameRange(engine.layers, order.range);
      if (isDone || now() > order.untilMs) next.delete(engine.engineId);
    }
    underWay = next;
  }

  async function give(
    order: LayerOrder,
    context: { members: readonly EngineRecord[]; model: LayeredModel },
  ): Promise<void> {
    const { members, model } = context;
    const engine = members.find((e) => e.engineId === order.engineId);
    if (!engine) return;
    const { fromLayer, toLayer } = order;
    const range = { fromLayer, toLayer };
    const share = (toLayer - fromLayer) / model.layers;
    const slowdown = Math.max(1, members.length / model.loadsAtOnce);
    const untilMs = now() + model.loadMs * share * slowdown + ORDER_SLACK_MS;
    underWay.set(order.engineId, { range, untilMs });
    const answer = await options.sendOrder(engine, range);
    log("layersOrdered", { engineId: order.engineId, ...range, answer });
    if (answer === "refused" || answer === "conflict") {
      underWay.set(order.engineId, { range, untilMs: now() + 500 });
    }
  }

  return {
    reset() {
      underWay = new Map();
      gapSinceMs = new Map();
      newestMs = now();
    },
    run,
  };
}

function isSameRange(a: LayerRange | undefined, b: LayerRange): boolean {
  return a?.fromLayer === b.fromLayer && a.toLayer === b.toLayer;
}
