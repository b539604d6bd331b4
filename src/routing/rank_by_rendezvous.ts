/**
 * Rendezvous hashing.
 *
 * @module
 */

import { createHash } from "node:crypto";

/**
 * Orders names for a key. Each key has its own order, which changes little when
 * names are added or removed.
 *
 * @param names - The names.
 * @param key - The key to rank the names for.
 * @returns The names, in order of preference.
 * @throws Nothing.
 * @example
 * const [first] = rankByRendezvous(["vm-1", "vm-2"], "engine-7");
 */
export function rankByRendezvous(
  names: readonly string[],
  key: string,
): string[] {
  return names
    .map((name) => ({ name, weight: computeWeight(`${key}\n${name}`) }))
    .sort((a, b) => a.weight < b.weight ? 1 : -1)
    .map(({ name }) => name);
}

function computeWeight(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
