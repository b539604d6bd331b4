/**
 * Decides which engines are to hold which layers.
 *
 * @module
 */

import { listHolders } from "./_lib/list_holders.ts";
import { sortById } from "./_lib/sort_by_id.ts";
import {
  chooseSpread,
  type EngineGroup,
  type GroupPlan,
  type MayRespread,
} from "./choose_spread.ts";
import {
  designCopies,
  layOutEngines,
  listOrderHolders,
} from "./design_copies.ts";
import { addHolder, type LayerCover, makeCover } from "./layer_cover.ts";
import { moveSpares } from "./move_spares.ts";
import { spreadGroup } from "./spread_group.ts";
import { findTokensInFlight } from "./token_room.ts";
import type { LayerEngine, LayerFigures, LayerOrder } from "./types.ts";

/** What a plan may do. */
export interface PlanLayerOrdersOptions {
  readonly figures: LayerFigures;
  /** Whether a group with a gap that no engine can be moved to is spread anew. */
  readonly mayRespread: MayRespread;
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
    plan === chosen ? spreadGroup(plan.group.engines, figures) : plan.orders
  );
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
