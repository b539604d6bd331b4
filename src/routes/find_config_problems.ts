/**
 * Checks a whole configuration before it is accepted.
 *
 * @module
 */

import { Value } from "typebox/value";
import { findSchemaProblems } from "../model/index.ts";
import { getRouteKey } from "./get_route_key.ts";
import { type RouteConfig, RouteConfigSchema } from "./schemas.ts";

/**
 * Finds what makes a configuration invalid.
 *
 * @param config - The configuration.
 * @returns One line a problem, naming the field; none where it is valid.
 * @throws Nothing.
 * @example
 * const problems = findConfigProblems(config);
 */
export function findConfigProblems(config: RouteConfig): string[] {
  if (!Value.Check(RouteConfigSchema, config)) {
    return findSchemaProblems(RouteConfigSchema, config).map((problem) =>
      `${problem.field}: found ${problem.found}, allowed is ${problem.allowed}`
    );
  }
  return [
    ...findTargetProblems(config),
    ...findSecondRoutes(config),
    ...findSharedKeys(config),
  ];
}

function findTargetProblems(config: RouteConfig): string[] {
  const services = new Set(config.services.map((service) => service.name));
  return config.routes.flatMap((route, at) => {
    const unknown = route.targets
      .filter((target) => !services.has(target.service))
      .map((target) => `routes.${at}: unknown service ${target.service}`);
    const totalWeight = route.targets
      .reduce((sum, target) => sum + target.weight, 0);
    if (totalWeight > 0) return unknown;
    return [...unknown, `routes.${at}: the weights sum to 0`];
  });
}

function findSecondRoutes(config: RouteConfig): string[] {
  const seen = new Set<string>();
  return config.routes.flatMap((route, at) => {
    const key = getRouteKey(route);
    if (seen.has(key)) return [`routes.${at}: second route for ${key}`];
    seen.add(key);
    return [];
  });
}

function findSharedKeys(config: RouteConfig): string[] {
  const owners = new Map<string, string>();
  return config.accounts.flatMap(({ name, keys }) =>
    keys.flatMap((key) => {
      const owner = owners.get(key) ?? name;
      owners.set(key, owner);
      return owner === name
        ? []
        : [`accounts: ${owner} and ${name} share a key`];
    })
  );
}
