/**
 * Indexes items by key.
 *
 * @module
 */

/**
 * Indexes items by key; of several items with the same key, the last one wins.
 *
 * @param items - The items.
 * @param getKey - Returns the key of an item.
 * @returns The map, in the order of the items.
 * @throws Nothing.
 * @example
 * const byName = indexByKey(config.services, (service) => service.name);
 */
export function indexByKey<Item>(
  items: readonly Item[],
  getKey: (item: Item) => string,
): Map<string, Item> {
  return new Map(items.map((item) => [getKey(item), item]));
}
