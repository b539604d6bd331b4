/**
 * Plans which layers each engine holds.
 *
 * @module
 */

import { listHolders } from "./_lib/list_holders.ts";
import { sortById } from "./_lib/sort_by_id.ts";
import {
  chooseRedistribution,
  type EngineGroup,
  type GroupPlan,
  type MayRedistribute,
} from "./choose_redistribution.ts";
import {
  assignWindows,
  designCopies,
  listOrderHolders,
} from "./design_copies.ts";
import { addHolder, type LayerCover, makeCover } from "./layer_cover.ts";
import { moveRedundantEngines } from "./move_redundant_engines.ts";
import { redistributeGroup } from "./redistribute_group.ts";
import { findTokensInFlight } from "./token_capacity.ts";
import type { LayerEngine, LayerOrder, ModelProfile } from "./types.ts";

/** Options of {@link planLayerOrders}. */
export interface PlanLayerOrdersOptions {
  readonly profile: ModelProfile;
  /** Decides whether to redistribute a group with a gap that no move of an engine can fill. */
  readonly mayRedistribute: MayRedistribute;
}

/**
 * Plans the next orders. Each data centre with enough memory forms a group of its own,
 * which holds the number of complete copies that gives the highest stream rate; the
 * engines of all other data centres together form one more group. Engines that are
 * not needed for the copies hold layers a second time.
 *
 * An engine without layers gets the window with the highest gain. Layers without a
 * holder go to engines whose own layers have other holders. If there is no such engine
 * and the options allow it, the layers of the group are redistributed over its
 * remaining engines. Only one group is redistributed at a time, so that the others can
 * serve while its engines load.
 *
 * @param engines - The engines that are not leaving, with the layers that they hold or
 * were ordered to load.
 * @param options - The model's profile and the rule that allows a redistribution.
 * @returns The orders; empty if no change is needed.
 * @throws Nothing.
 * @example
 * const orders = planLayerOrders(engines, { profile, mayRedistribute });
 */
export function planLayerOrders(
  engines: readonly LayerEngine[],
  options: PlanLayerOrdersOptions,
): LayerOrder[] {
  const { profile: profile } = options;
  const plans = groupEngines(engines, profile)
    .map((group) => planGroup(group, profile));
  const chosen = chooseRedistribution(plans, options);
  return plans.flatMap((plan) =>
    plan === chosen
      ? redistributeGroup(plan.group.engines, profile)
      : plan.orders
  );
}

function groupEngines(
  engines: readonly LayerEngine[],
  profile: ModelProfile,
): EngineGroup[] {
  const byPlace = new Map<string, LayerEngine[]>();
  for (const engine of engines) {
    byPlace.set(engine.place, [...byPlace.get(engine.place) ?? [], engine]);
  }
  const groups: EngineGroup[] = [];
  let remainder: EngineGroup = { name: "", engines: [] };
  for (const [name, members] of [...byPlace].sort(compareNames)) {
    const canHoldCopy = findTokensInFlight(members, profile) !== undefined;
    if (canHoldCopy) groups.push({ name, engines: members });
    else {
      const joinedName = [remainder.name, name].filter(Boolean).join("+");
      remainder = {
        name: joinedName,
        engines: [...remainder.engines, ...members],
      };
    }
  }
  return remainder.engines.length > 0 ? [...groups, remainder] : groups;
}

function compareNames(
  [a]: readonly [string, unknown],
  [b]: readonly [string, unknown],
): number {
  return a < b ? -1 : 1;
}

function planGroup(group: EngineGroup, profile: ModelProfile): GroupPlan {
  const { engines } = group;
  if (engines.every((engine) => engine.range === undefined)) {
    const orders = designCopies(sortById(engines), profile)
      .flatMap((copy) => copy.orders);
    return { group, orders, hasGaps: false };
  }
  const cover = makeCover(engines.flatMap(listHolders), profile.layers);
  const hasEmpty = engines.some(isEmpty);
  const isIncomplete = cover.some((factors) => factors.length === 0);
  if (!hasEmpty && !isIncomplete) return { group, orders: [], hasGaps: false };
  return repairGroup(group, { cover, profile });
}

function isEmpty({ range, isLoading }: LayerEngine): boolean {
  return range === undefined && !isLoading;
}

function repairGroup(
  group: EngineGroup,
  context: { cover: LayerCover; profile: ModelProfile },
): GroupPlan {
  const { engines } = group;
  const { profile } = context;
  const designs = designCopies(sortById(engines), profile);
  const tokens = Math.min(...designs.map((design) => design.tokens));
  const target = {
    copies: Math.max(1, designs.length),
    tokens: designs.length > 0 ? tokens : 0,
    profile,
  };
  const emptyEngines = sortById(engines.filter(isEmpty));
  const fillOrders = assignWindows(emptyEngines, {
    cover: context.cover,
    ...target,
  });
  const cover = addOrders(context.cover, fillOrders, engines);
  const moveOrders = moveRedundantEngines(engines, { cover, ...target });
  const finalCover = addOrders(cover, moveOrders, engines);
  const hasGaps = finalCover.some((factors) => factors.length === 0);
  return { group, orders: [...fillOrders, ...moveOrders], hasGaps };
}

function addOrders(
  cover: LayerCover,
  orders: readonly LayerOrder[],
  engines: readonly LayerEngine[],
): LayerCover {
  return listOrderHolders(orders, engines).reduce(addHolder, cover);
}
