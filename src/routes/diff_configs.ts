/**
 * What changed between two configurations.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import { getName } from "./_lib/get_name.ts";
import { keyItems } from "./_lib/key_items.ts";
import { getRouteKey } from "./get_route_key.ts";
import type { Account, Route, RouteConfig, Service } from "./schemas.ts";

/** What changed in a list whose items have keys; their order has no meaning. */
export interface ListChange<Item> {
  /** Whether `put` is the whole list, and what was there before is dropped. */
  readonly isWhole: boolean;
  /** Items that were added or replaced. */
  readonly put: readonly Item[];
  readonly removedKeys: readonly string[];
}

/** What changed between two configurations. */
export interface ConfigChange {
  /** Version of the newer one. */
  readonly version: number;
  readonly routes: ListChange<Route>;
  readonly services: ListChange<Service>;
  readonly accounts: ListChange<Account>;
  readonly limits: RouteConfig["limits"];
}

/**
 * Finds what changed, in time proportional to the two configurations.
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
  const before = keyItems(from, getKey);
  const after = keyItems(to, getKey);
  // Keys that occur twice can't name single items.
  if (before.size < from.length || after.size < to.length) {
    return { isWhole: true, put: to, removedKeys: [] };
  }
  const put = to.filter((item) =>
    !isDeepStrictEqual(before.get(getKey(item)), item)
  );
  const removedKeys = [...before.keys()].filter((key) => !after.has(key));
  return { isWhole: false, put, removedKeys };
}
