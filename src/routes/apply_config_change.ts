/**
 * Applies a change to a configuration.
 *
 * @module
 */

import { getName } from "./_lib/get_name.ts";
import { indexByKey } from "./_lib/index_by_key.ts";
import type { ConfigChange, ListChange } from "./diff_configs.ts";
import { getRouteKey } from "./get_route_key.ts";
import type { RouteConfig } from "./schemas.ts";

/**
 * Applies a change made by {@link diffConfigs}.
 *
 * @param from - The configuration that the change is based on.
 * @param change - The change.
 * @returns The newer configuration; the order of its lists may differ from the original.
 * @throws Nothing.
 * @example
 * const config = applyConfigChange(held, change);
 */
export function applyConfigChange(
  from: RouteConfig,
  change: ConfigChange,
): RouteConfig {
  const { version, limits } = change;
  return {
    version,
    routes: applyListChange(from.routes, change.routes, getRouteKey),
    services: applyListChange(from.services, change.services, getName),
    accounts: applyListChange(from.accounts, change.accounts, getName),
    limits,
  };
}

function applyListChange<Item>(
  items: readonly Item[],
  { isWhole, put, removedKeys }: ListChange<Item>,
  getKey: (item: Item) => string,
): Item[] {
  if (isWhole) return [...put];
  const byKey = indexByKey(items, getKey);
  for (const key of removedKeys) byKey.delete(key);
  for (const item of put) byKey.set(getKey(item), item);
  return [...byKey.values()];
}
