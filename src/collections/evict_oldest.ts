/**
 * Bounds the size of a collection.
 *
 * @module
 */

/** A map or a set; both iterate their keys in insertion order. */
export interface OrderedKeys<Key> {
  readonly size: number;
  keys(): Iterable<Key>;
  delete(key: Key): boolean;
}

/**
 * Evicts the oldest keys of a map or a set that exceeds its maximum size.
 *
 * @param collection - The map or set; changed in place.
 * @param maxSize - Maximum number of keys.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * evictOldest(traces, MAX_TRACES);
 */
export function evictOldest<Key>(
  collection: OrderedKeys<Key>,
  maxSize: number,
): void {
  for (const key of collection.keys()) {
    if (collection.size <= maxSize) return;
    collection.delete(key);
  }
}
