/**
 * Compares two states of a map.
 *
 * @module
 */

/** The changes that turn one map into another. */
export interface MapChanges<Key, Value> {
  /** Values that are new or different, in the order of the newer map. */
  readonly changed: readonly Value[];
  /** Keys that were removed. */
  readonly gone: readonly Key[];
}

/**
 * Finds what changed from one map to another.
 *
 * @param before - The older map.
 * @param after - The newer map.
 * @param isSame - Whether two values of the same key are equal.
 * @returns The changes; both lists are empty if there are none.
 * @throws Nothing.
 * @example
 * const { changed, gone } = findMapChanges(published, current, isSameGateway);
 */
export function findMapChanges<Key, Value>(
  before: ReadonlyMap<Key, Value>,
  after: ReadonlyMap<Key, Value>,
  isSame: (a: Value, b: Value) => boolean,
): MapChanges<Key, Value> {
  const isChanged = ([key, value]: readonly [Key, Value]) => {
    const previous = before.get(key);
    return previous === undefined || !isSame(previous, value);
  };
  return {
    changed: [...after].filter(isChanged).map(([, value]) => value),
    gone: [...before.keys()].filter((key) => !after.has(key)),
  };
}
