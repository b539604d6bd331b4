/**
 * Chooses the group of engines over which the layers are redistributed.
 *
 * @module
 */

import { listHolders } from "./_lib/list_holders.ts";
import { makeCover } from "./layer_cover.ts";
import { findTokensInFlight } from "./token_capacity.ts";
import type { LayerEngine, LayerOrder, ModelProfile } from "./types.ts";

/** Engines that together hold one or more complete copies of a model. */
export interface EngineGroup {
  readonly name: string;
  readonly engines: readonly LayerEngine[];
}

/** Planned orders of one group. */
export interface GroupPlan {
  readonly group: EngineGroup;
  /** Orders after which every layer that is held now still has a holder. */
  readonly orders: readonly LayerOrder[];
  /** Whether some layers remain without a holder after these orders. */
  readonly hasGaps: boolean;
}

/**
 * Whether all layers stay covered while a group is redistributed: "others" if the
 * other groups hold all layers, "lost" if all layers are held now but would not be
 * during the redistribution, "none" if some layers have no holder even now.
 */
export type CoverDuringRedistribution = "others" | "lost" | "none";

/** Decides whether to redistribute a group with a gap that no move of an engine can fill. */
export type MayRedistribute = (
  place: string,
  options: { readonly cover: CoverDuringRedistribution },
) => boolean;

/**
 * Chooses the group to redistribute. Only one group is redistributed at a time, since
 * it serves few requests while its engines load. Groups with gaps can still serve
 * together, by paths that cross from one group to the other. Redistributing the only
 * group that holds some layers takes these out of service: when 9 of 40 engines
 * failed together, this left layers without a holder for 5 of 9 s.
 *
 * @param plans - The plans of all groups.
 * @param options - The model's profile and the rule that allows a redistribution.
 * @returns The plan of the chosen group, or undefined if no group is redistributed.
 * @throws Nothing.
 * @example
 * const chosen = chooseRedistribution(plans, { profile, mayRedistribute });
 */
export function chooseRedistribution(
  plans: readonly GroupPlan[],
  options: {
    readonly profile: ModelProfile;
    readonly mayRedistribute: MayRedistribute;
  },
): GroupPlan | undefined {
  const { profile: profile, mayRedistribute: mayRedistribute } = options;
  const repairable = plans.filter(({ group, hasGaps }) =>
    hasGaps && findTokensInFlight(group.engines, profile) !== undefined
  );
  const allowed = new Set(
    repairable.filter(({ group }) =>
      mayRedistribute(group.name, {
        cover: getCoverDuringRedistribution(group, { plans, profile }),
      })
    ),
  );
  const chosen = repairable.find((plan) => allowed.has(plan));
  const isOtherGroupLoading = plans.some((plan) =>
    plan !== chosen && plan.group.engines.some((engine) => engine.isLoading)
  );
  return isOtherGroupLoading ? undefined : chosen;
}

function getCoverDuringRedistribution(
  group: EngineGroup,
  context: { plans: readonly GroupPlan[]; profile: ModelProfile },
): CoverDuringRedistribution {
  const { plans, profile: { layers } } = context;
  const loaded = plans
    .flatMap((plan) => plan.group.engines)
    .filter((engine) => !engine.isLoading);
  const others = loaded.filter((engine) => !group.engines.includes(engine));
  if (coversAllLayers(others, layers)) return "others";
  return coversAllLayers(loaded, layers) ? "lost" : "none";
}

function coversAllLayers(
  engines: readonly LayerEngine[],
  layers: number,
): boolean {
  return makeCover(engines.flatMap(listHolders), layers)
    .every((factors) => factors.length > 0);
}
