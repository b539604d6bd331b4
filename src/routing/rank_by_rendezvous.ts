/**
 * Rendezvous hashing.
 *
 * @module
 */

import { createHash } from "node:crypto";

/**
 * Orders names for a key: each key has an order of its own, in which little
 * moves when names come and go.
 *
 * @param names - The names.
 * @param key - What they are ranked for.
 * @returns The names, the first choice first.
 * @throws Nothing.
 * @example
 * const [first] = rankByRendezvous(["vm-1", "vm-2"], "engine-7");
 */
export function rankByRendezvous(
  names: readonly string[],
  key: string,
): string[] {
  return names
    .map((name) => ({ name, weight: weigh(`${key}\n${name}`) }))
    .sort((a, b) => a.weight < b.weight ? 1 : -1)
    .map(({ name }) => name);
}

function weigh(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
