/**
 * Validates a configuration before it is accepted.
 *
 * @module
 */

import type { TSchema } from "typebox";
import { Compile } from "typebox/compile";
import { findSchemaProblems } from "../model/index.ts";
import { getRouteKey } from "./get_route_key.ts";
import { type RouteConfig, RouteConfigSchema, RouteSchema } from "./schemas.ts";

// Interpreting the schemas would block the event loop on large configurations, so they
// are compiled; on first use only, because most processes never validate one.
const getConfigValidator = once(() => Compile(RouteConfigSchema));
const getRouteValidator = once(() => Compile(RouteSchema));

/**
 * Finds the problems that make a configuration invalid.
 *
 * @param config - The configuration.
 * @returns One line per problem, with the field; empty if the configuration is valid.
 * @throws Nothing.
 * @example
 * const problems = findConfigProblems(config);
 */
export function findConfigProblems(config: RouteConfig): string[] {
  if (!getConfigValidator().Check(config)) return findShapeProblems(config);
  return [
    ...findTargetProblems(config),
    ...findDuplicateRoutes(config),
    ...findSharedKeys(config),
  ];
}

// Routes are checked one by one, so that the detailed, interpreted check runs only on
// the invalid ones: a configuration can have many routes.
function findShapeProblems(config: RouteConfig): string[] {
  const validator = getRouteValidator();
  const routeProblems = config.routes.flatMap((route, at) =>
    validator.Check(route)
      ? []
      : describeProblems(RouteSchema, route, `routes.${at}.`)
  );
  const withoutRoutes = { ...config, routes: [] };
  return [
    ...routeProblems,
    ...describeProblems(RouteConfigSchema, withoutRoutes, ""),
  ];
}

function describeProblems(
  schema: TSchema,
  value: unknown,
  prefix: string,
): string[] {
  return findSchemaProblems(schema, value).map(({ field, found, allowed }) =>
    `${prefix}${field}: found ${found}, allowed is ${allowed}`
  );
}

function once<Value>(make: () => Value): () => Value {
  let cached: { value: Value } | undefined;
  return () => (cached ??= { value: make() }).value;
}

function findTargetProblems(config: RouteConfig): string[] {
  const services = new Set(config.services.map((service) => service.name));
  return config.routes.flatMap((route, at) => {
    const unknownServices = route.targets
      .filter((target) => !services.has(target.service))
      .map((target) => `routes.${at}: unknown service ${target.service}`);
    const totalWeight = route.targets
      .reduce((sum, target) => sum + target.weight, 0);
    if (totalWeight > 0) return unknownServices;
    return [...unknownServices, `routes.${at}: the weights sum to 0`];
  });
}

function findDuplicateRoutes(config: RouteConfig): string[] {
  const seen = new Set<string>();
  return config.routes.flatMap((route, at) => {
    const key = getRouteKey(route);
    if (seen.has(key)) return [`routes.${at}: duplicate route for ${key}`];
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
