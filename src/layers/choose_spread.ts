/**
 * Chooses the group of engines that is spread anew.
 *
 * @module
 */

import { listHolders } from "./_lib/list_holders.ts";
import { makeCover } from "./layer_cover.ts";
import { findTokensInFlight } from "./token_room.ts";
import type { LayerEngine, LayerFigures, LayerOrder } from "./types.ts";

/** Engines that together hold whole copies. */
export interface EngineGroup {
  readonly name: string;
  readonly engines: readonly LayerEngine[];
}

/** What one group needs. */
export interface GroupPlan {
  readonly group: EngineGroup;
  /** Orders that don't disturb what is held. */
  readonly orders: readonly LayerOrder[];
  /** Whether layers remain that nobody holds. */
  readonly hasGaps: boolean;
}

/**
 * Who holds all layers while a group is spread anew: the other groups, nobody then
 * though all together do now, or nobody even now.
 */
export type SpreadCover = "others" | "lost" | "none";

/** Whether a group with a gap that no engine can be moved to is spread anew. */
export type MayRespread = (
  place: string,
  options: { readonly cover: SpreadCover },
) => boolean;

/**
 * Chooses a group. One that is spread anew serves little meanwhile: one at a time.
 * Groups with gaps of their own may still serve together, by paths from one to the
 * other: on a day on which 9 of 40 engines went dark together, nobody held some
 * layers for 5 s of 9 because the group that did was spread anew.
 *
 * @param plans - What all groups need.
 * @param options - The model's figures and what is allowed.
 * @returns The group's plan, or undefined where none is spread anew.
 * @throws Nothing.
 * @example
 * const chosen = chooseSpread(plans, { figures, mayRespread });
 */
export function chooseSpread(
  plans: readonly GroupPlan[],
  options: {
    readonly figures: LayerFigures;
    readonly mayRespread: MayRespread;
  },
): GroupPlan | undefined {
  const { figures, mayRespread } = options;
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
