/**
 * Chooses the service for a request among a route's weighted targets.
 *
 * @module
 */

import type { Route } from "./schemas.ts";

/**
 * Chooses a target at random, in proportion to the weights.
 *
 * @param route - The route.
 * @param random - A number in [0, 1).
 * @returns The name of the service.
 * @throws Nothing.
 * @example
 * const service = chooseTarget(route, Math.random());
 */
export function chooseTarget(
  route: Pick<Route, "targets">,
  random: number,
): string {
  const { targets } = route;
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = random * total;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (weight > 0 && remaining < 0) return service;
  }
  return targets.findLast((target) => target.weight > 0)?.service ??
    targets[0].service;
}
