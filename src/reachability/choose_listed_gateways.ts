/**
 * Chooses the gateways whose addresses callers are given.
 *
 * @module
 */

import type { Peer } from "./choose_peer.ts";

/** Share of a data centre's gateways that can carry all of its callers. */
const MIN_SUFFICIENT_SHARE = 0.5;

/**
 * Chooses the gateways for callers in a data centre: those there, unless there are
 * none. Gateways that are cut off from a service are left out as long as enough others
 * remain; they would pass requests on to these.
 *
 * @param ready - The gateways that accept callers.
 * @param place - Data centre of the callers.
 * @returns The gateways; empty only if `ready` is.
 * @throws Nothing.
 * @example
 * const listed = chooseListedGateways(ready, "dc-1");
 */
export function chooseListedGateways<T extends Peer>(
  ready: readonly T[],
  place: string,
): readonly T[] {
  const near = ready.filter((gateway) => gateway.place === place);
  const nearest = near.length > 0 ? near : ready;
  return keepSufficient(nearest) ?? keepSufficient(ready) ?? nearest;
}

// Returns undefined if too few of the gateways reach all services.
function keepSufficient<T extends Peer>(
  gateways: readonly T[],
): readonly T[] | undefined {
  const whole = gateways.filter(({ cutOffServices = [] }) =>
    cutOffServices.length === 0
  );
  const isSufficient = whole.length >= gateways.length * MIN_SUFFICIENT_SHARE;
  return isSufficient ? whole : undefined;
}
