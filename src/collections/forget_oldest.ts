/**
 * Bounds what is remembered.
 *
 * @module
 */

/** A map or a set; either keeps its keys in the order in which they came. */
export interface OrderedKeys<Key> {
  readonly size: number;
  keys(): Iterable<Key>;
  delete(key: Key): boolean;
}

/**
 * Forgets the oldest keys of a map or a set that holds too many.
 *
 * @param collection - The map or set; changed in place.
 * @param most - Keys that it may hold.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * forgetOldest(traces, MAX_TRACES);
 */
export function forgetOldest<Key>(
  collection: OrderedKeys<Key>,
  most: number,
): void {
  for (const key of collection.keys()) {
    if (collection.size <= most) return;
    collection.delete(key);
  }
}
