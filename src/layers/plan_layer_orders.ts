/**
 * Decides which engines are to hold which layers.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";
import {
  designCopies,
  getMissingFactor,
  layOutEngines,
  listOrderHolders,
} from "./design_copies.ts";
import {
  addHolder,
  type CoverFigures,
  createWindowChooser,
  getHolderGain,
  type LayerCover,
  type LayerHolder,
  makeCover,
} from "./layer_cover.ts";
import { findTokensInFlight, getLayerRoom } from "./token_room.ts";
import type { LayerEngine, LayerFigures, LayerOrder } from "./types.ts";

/**
 * Who holds all layers while a group is spread anew: the other groups, nobody then
 * though all together do now, or nobody even now.
 */
export type SpreadCover = "others" | "lost" | "none";

/** What a plan may do. */
export interface PlanLayerOrdersOptions {
  readonly figures: LayerFigures;
  /** Whether a group with a gap that no engine can be moved to is spread anew. */
  readonly mayRespread: (
    place: string,
    options: { readonly cover: SpreadCover },
  ) => boolean;
}

/**
 * Plans the next orders: whole copies of the model in each data centre that can
 * hold one, as many as run the most requests; one more over the engines of the
 * others together. Engines that the copies don't need hold layers a second time.
 *
 * An empty engine gets the layers that it helps most with. Layers that are held
 * too rarely go to engines whose own layers others hold as well; where there
 * are none, and the options allow it, the group is spread anew over what is
 * left. Only one group at a time is: while its engines load, the others serve.
 *
 * @param engines - The engines that stay, with what they hold or were ordered
 * to hold.
 * @param options - The model's figures and what is allowed.
 * @returns The orders, none where all is in place.
 * @throws Nothing.
 * @example
 * const orders = planLayerOrders(engines, { figures, mayRespread });
 */
export function planLayerOrders(
  engines: readonly LayerEngine[],
  options: PlanLayerOrdersOptions,
): LayerOrder[] {
  const { figures } = options;
  const plans = groupEngines(engines, figures)
    .map((group) => planGroup(group, figures));
  const chosen = chooseSpread(plans, options);
  return plans.flatMap((plan) =>
    plan === chosen ? spread(plan.group.engines, figures) : plan.orders
  );
}

/** Engines that together hold whole copies. */
interface EngineGroup {
  readonly name: string;
  readonly engines: readonly LayerEngine[];
}

function groupEngines(
  engines: readonly LayerEngine[],
  figures: LayerFigures,
): EngineGroup[] {
  const byPlace = new Map<string, LayerEngine[]>();
  for (const engine of engines) {
    byPlace.set(engine.place, [...byPlace.get(engine.place) ?? [], engine]);
  }
  const groups: EngineGroup[] = [];
  let rest: EngineGroup = { name: "", engines: [] };
  for (const [name, members] of [...byPlace].sort(compareNames)) {
    const isWhole = findTokensInFlight(members, figures) !== undefined;
    if (isWhole) groups.push({ name, engines: members });
    else {
      const joined = [rest.name, name].filter(Boolean).join("+");
      rest = { name: joined, engines: [...rest.engines, ...members] };
    }
  }
  return rest.engines.length > 0 ? [...groups, rest] : groups;
}

function compareNames(
  [a]: readonly [string, unknown],
  [b]: readonly [string, unknown],
): number {
  return a < b ? -1 : 1;
}

/** What one group needs. */
interface GroupPlan {
  readonly group: EngineGroup;
  /** Orders that don't disturb what is held. */
  readonly orders: readonly LayerOrder[];
  /** Whether layers remain that nobody holds. */
  readonly hasGaps: boolean;
}

function planGroup(group: EngineGroup, figures: LayerFigures): GroupPlan {
  const { engines } = group;
  if (engines.every((engine) => engine.range === undefined)) {
    const orders = designCopies(sortById(engines), figures)
      .flatMap((copy) => copy.orders);
    return { group, orders, hasGaps: false };
  }
  const cover = makeCover(engines.flatMap(listHolders), figures.layers);
  const hasEmpty = engines.some(isEmpty);
  const isShort = cover.some((factors) => factors.length === 0);
  if (!hasEmpty && !isShort) return { group, orders: [], hasGaps: false };
  return repairGroup(group, { cover, figures });
}

function listHolders({ range, stepFactor }: LayerEngine): LayerHolder[] {
  return range ? [{ ...range, stepFactor }] : [];
}

function isEmpty({ range, isLoading }: LayerEngine): boolean {
  return range === undefined && !isLoading;
}

function repairGroup(
  group: EngineGroup,
  context: { cover: LayerCover; figures: LayerFigures },
): GroupPlan {
  const { engines } = group;
  const { figures } = context;
  const designs = designCopies(sortById(engines), figures);
  const tokens = Math.min(...designs.map((design) => design.tokens));
  const room = {
    copies: Math.max(1, designs.length),
    tokens: designs.length > 0 ? tokens : 0,
    figures,
  };
  const empty = sortById(engines.filter(isEmpty));
  const filling = layOutEngines(empty, { cover: context.cover, ...room });
  const cover = coverOrders(context.cover, filling, engines);
  const moves = moveSpares(engines, { cover, ...room });
  const after = coverOrders(cover, moves, engines);
  const hasGaps = after.some((factors) => factors.length === 0);
  return { group, orders: [...filling, ...moves], hasGaps };
}

function coverOrders(
  cover: LayerCover,
  orders: readonly LayerOrder[],
  engines: readonly LayerEngine[],
): LayerCover {
  return listOrderHolders(orders, engines).reduce(addHolder, cover);
}

/** What moves of engines to layers that nobody holds go by. */
interface MoveOptions {
  readonly cover: LayerCover;
  readonly copies: number;
  readonly tokens: number;
  readonly figures: LayerFigures;
}

// An engine all of whose layers another one holds too goes where nobody does.
// The most useful one moves first, until no gap is left or none may go.
function moveSpares(
  engines: readonly LayerEngine[],
  options: MoveOptions,
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
  options: MoveOptions & {
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

// A group that is spread anew serves little meanwhile: one at a time. Groups with
// gaps of their own may still serve together, by paths from one to the other: on
// a day on which 9 of 40 engines went dark together, nobody held some layers for
// 5 s of 9 because the group that did was spread anew.
function chooseSpread(
  plans: readonly GroupPlan[],
  { figures, mayRespread }: PlanLayerOrdersOptions,
): GroupPlan | undefined {
  const broken = plans.filter(({ group, hasGaps }) =>
    hasGaps && findTokensInFlight(group.engines, figures) !== undefined
  );
  const ready = new Set(
    broken.filter(({ group }) =>
      mayRespread(group.name, {
        cover: getSpreadCover(group, { plans, figures }),
      })
    ),
  );
  const chosen = broken.find((plan) => ready.has(plan));
  const othersLoad = plans.some((plan) =>
    plan !== chosen && plan.group.engines.some((engine) => engine.isLoading)
  );
  return othersLoad ? undefined : chosen;
}

function getSpreadCover(
  group: EngineGroup,
  context: { plans: readonly GroupPlan[]; figures: LayerFigures },
): SpreadCover {
  const { plans, figures: { layers } } = context;
  const ready = plans
    .flatMap((plan) => plan.group.engines)
    .filter((engine) => !engine.isLoading);
  const others = ready.filter((engine) => !group.engines.includes(engine));
  if (holdsAllLayers(others, layers)) return "others";
  return holdsAllLayers(ready, layers) ? "lost" : "none";
}

function holdsAllLayers(
  engines: readonly LayerEngine[],
  layers: number,
): boolean {
  return makeCover(engines.flatMap(listHolders), layers)
    .every((factors) => factors.length > 0);
}

// Engines with alike cards keep the order of what they hold, so that a new
// spread moves as few layers as it can.
function spread(
  engines: readonly LayerEngine[],
  figures: LayerFigures,
): LayerOrder[] {
  const inOrder = sortById(engines).sort((a, b) =>
    getMiddle(a, figures) - getMiddle(b, figures)
  );
  const byId = new Map(engines.map((engine) => [engine.engineId, engine]));
  return designCopies(inOrder, figures)
    .flatMap((copy) => copy.orders)
    .filter(({ engineId, fromLayer, toLayer }) => {
      const range = byId.get(engineId)?.range;
      return range?.fromLayer !== fromLayer || range.toLayer !== toLayer;
    });
}

function sortById(engines: readonly LayerEngine[]): LayerEngine[] {
  return [...engines].sort((a, b) => a.engineId < b.engineId ? -1 : 1);
}

function getMiddle(engine: LayerEngine, figures: LayerFigures): number {
  const { range } = engine;
  return range ? (range.fromLayer + range.toLayer) / 2 : figures.layers;
}
