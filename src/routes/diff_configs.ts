/**
 * Computes the difference between two configurations.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import { getName } from "./_lib/get_name.ts";
import { indexByKey } from "./_lib/index_by_key.ts";
import { getRouteKey } from "./get_route_key.ts";
import type { Account, Route, RouteConfig, Service } from "./schemas.ts";

/** Changes to a list of items with keys; the order of the items is ignored. */
export interface ListChange<Item> {
  /** Whether `put` is the complete list and replaces the previous one. */
  readonly isWhole: boolean;
  /** Added and replaced items. */
  readonly put: readonly Item[];
  readonly removedKeys: readonly string[];
}

/** Difference between two configurations. */
export interface ConfigChange {
  /** Version of the newer configuration. */
  readonly version: number;
  readonly routes: ListChange<Route>;
  readonly services: ListChange<Service>;
  readonly accounts: ListChange<Account>;
  readonly limits: RouteConfig["limits"];
}

/**
 * Computes the difference between two configurations, in time linear in their
 * size.
 *
 * @param from - The earlier configuration.
 * @param to - The newer one.
 * @returns The change.
 * @throws Nothing.
 * @example
 * const change = diffConfigs(from, to);
 * applyConfigChange(from, change);
 */
export function diffConfigs(from: RouteConfig, to: RouteConfig): ConfigChange {
  return {
    version: to.version,
    routes: diffLists(from.routes, to.routes, getRouteKey),
    services: diffLists(from.services, to.services, getName),
    accounts: diffLists(from.accounts, to.accounts, getName),
    limits: to.limits,
  };
}

function diffLists<Item>(
  from: readonly Item[],
  to: readonly Item[],
  getKey: (item: Item) => string,
): ListChange<Item> {
  const before = indexByKey(from, getKey);
  const after = indexByKey(to, getKey);
  // With duplicate keys, single items cannot be identified: send the complete list.
  if (before.size < from.length || after.size < to.length) {
    return { isWhole: true, put: to, removedKeys: [] };
  }
  const put = to.filter((item) =>
    !isDeepStrictEqual(before.get(getKey(item)), item)
  );
  const removedKeys = [...before.keys()].filter((key) => !after.has(key));
  return { isWhole: false, put, removedKeys };
}
