/**
 * Checks a whole configuration before it is accepted.
 *
 * @module
 */

import type { TSchema } from "typebox";
import { Compile } from "typebox/compile";
import { findSchemaProblems } from "../model/index.ts";
import { getRouteKey } from "./get_route_key.ts";
import { type RouteConfig, RouteConfigSchema, RouteSchema } from "./schemas.ts";

// Interpreting the schemas holds the event loop up on large configurations. They are
// compiled on the first use: most processes check nothing.
const getConfigValidator = once(() => Compile(RouteConfigSchema));
const getRouteValidator = once(() => Compile(RouteSchema));

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
  if (!getConfigValidator().Check(config)) return findShapeProblems(config);
  return [
    ...findTargetProblems(config),
    ...findSecondRoutes(config),
    ...findSharedKeys(config),
  ];
}

// Routes that are right are not looked at again: there are many of them.
function findShapeProblems(config: RouteConfig): string[] {
  const validator = getRouteValidator();
  const ofRoutes = config.routes.flatMap((route, at) =>
    validator.Check(route)
      ? []
      : describeProblems(RouteSchema, route, `routes.${at}.`)
  );
  const rest = { ...config, routes: [] };
  return [...ofRoutes, ...describeProblems(RouteConfigSchema, rest, "")];
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
  let made: { value: Value } | undefined;
  return () => (made ??= { value: make() }).value;
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
