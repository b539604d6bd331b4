/**
 * Looks up the route and the client account of a request.
 *
 * @module
 */

import type { CallPriority } from "../admission/index.ts";
import { collectPriorities } from "./_lib/collect_priorities.ts";
import { normalizeHost } from "./_lib/normalize_host.ts";
import type { Account, Route, RouteConfig, Service } from "./schemas.ts";

/** A configuration indexed for lookups. */
export interface RouteTable {
  readonly version: number;
  readonly limits: RouteConfig["limits"];
  /** Whether requests need an API key, except on anonymous routes. */
  readonly needsKeys: boolean;
  findRoute(host: string, path: string): Route | undefined;
  findAccount(key: string): Account | undefined;
  getService(name: string): Service | undefined;
  /**
   * Distinct priorities that requests of a service can have, the most urgent first.
   * With fewer than two, priorities make no difference.
   */
  listPriorities(service: string): readonly CallPriority[];
}

/**
 * Creates the route table of a configuration.
 *
 * @param config - A valid configuration.
 * @returns The table.
 * @throws Nothing.
 * @example
 * const route = createRouteTable(config).findRoute("a.example", "/x/1");
 */
export function createRouteTable(config: RouteConfig): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of config.routes) {
    const host = normalizeHost(route.host);
    const routes = byHost.get(host) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    byHost.set(host, routes);
  }
  const accounts = new Map(
    config.accounts.flatMap((account) =>
      account.keys.map((key) => [key, account] as const)
    ),
  );
  const services = new Map(
    config.services.map((service) => [service.name, service] as const),
  );
  const priorities = collectPriorities(config);
  return {
    version: config.version,
    limits: config.limits,
    needsKeys: config.accounts.length > 0,
    findRoute(host, path) {
      const routes = byHost.get(normalizeHost(host));
      return routes && findLongestPrefix(routes, path);
    },
    findAccount: (key) => accounts.get(key),
    getService: (name) => services.get(name),
    listPriorities: (service) => priorities.get(service) ?? [],
  };
}

// Prefixes end with a slash, so only the parts of the path up to a slash are looked up.
function findLongestPrefix(
  routes: ReadonlyMap<string, Route>,
  path: string,
): Route | undefined {
  let end = path.length;
  while (end > 0) {
    const slash = path.lastIndexOf("/", end - 1);
    if (slash < 0) return undefined;
    const route = routes.get(path.slice(0, slash + 1));
    if (route) return route;
    end = slash;
  }
  return undefined;
}
