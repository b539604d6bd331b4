/**
 * Compares two states of a map.
 *
 * @module
 */

/** What has to be told for one map to become another. */
export interface MapChanges<Key, Value> {
  /** Values that are new or differ, in the order of the newer map. */
  readonly changed: readonly Value[];
  /** Keys that are no longer there. */
  readonly gone: readonly Key[];
}

/**
 * Finds what changed from one map to another.
 *
 * @param before - The older map.
 * @param after - The newer map.
 * @param isSame - Whether two values of one key say the same.
 * @returns The changes; both lists are empty where there are none.
 * @throws Nothing.
 * @example
 * const { changed, gone } = findMapChanges(told, current, isSameGateway);
 */
export function findMapChanges<Key, Value>(
  before: ReadonlyMap<Key, Value>,
  after: ReadonlyMap<Key, Value>,
  isSame: (a: Value, b: Value) => boolean,
): MapChanges<Key, Value> {
  const isChanged = ([key, value]: readonly [Key, Value]) => {
    const known = before.get(key);
    return known === undefined || !isSame(known, value);
  };
  return {
    changed: [...after].filter(isChanged).map(([, value]) => value),
    gone: [...before.keys()].filter((key) => !after.has(key)),
  };
}
