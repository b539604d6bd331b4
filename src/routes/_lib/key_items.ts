/**
 * Items by their keys.
 *
 * @module
 */

/**
 * Puts items into a map; of those with the same key the last one stays.
 *
 * @param items - The items.
 * @param getKey - Gives an item's key.
 * @returns The map, in the order of the items.
 * @throws Nothing.
 * @example
 * const byName = keyItems(config.services, (service) => service.name);
 */
export function keyItems<Item>(
  items: readonly Item[],
  getKey: (item: Item) => string,
): Map<string, Item> {
  return new Map(items.map((item) => [getKey(item), item]));
}
