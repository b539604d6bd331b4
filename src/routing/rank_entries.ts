/**
 * Which entries a caller should use.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { LiveEntry } from "../model/index.ts";

/** Options of {@link rankEntries}. */
export interface RankEntriesOptions {
  readonly service: string;
  readonly clientAccount: string;
  /** Place that the caller is in, where it says so. */
  readonly place?: string;
}

/**
 * Ranks the entries for a service and a client account.
 *
 * Rendezvous hashing gives each pair its own order that moves little when
 * entries come and go, so prefixes stay warm. Entries in the caller's place
 * go first, those that are overloaded last, those that are leaving not at all.
 *
 * @param entries - The live entries.
 * @param options - The service, the client account, the caller's place.
 * @returns The entries, the best first.
 * @throws Nothing.
 * @example
 * const ranked = rankEntries(entries, { service, clientAccount });
 */
export function rankEntries(
  entries: readonly LiveEntry[],
  options: RankEntriesOptions,
): LiveEntry[] {
  const { service, clientAccount, place } = options;
  const staying = entries.filter((entry) => !entry.leaving);
  const rank = (entry: LiveEntry) => {
    const overloaded = entry.overloaded ? 2 : 0;
    const distant = place !== undefined && entry.place !== place ? 1 : 0;
    return overloaded + distant;
  };
  return staying
    .map((entry) => ({
      entry,
      rank: rank(entry),
      weight: weigh(`${service}\n${clientAccount}\n${entry.vm}`),
    }))
    .sort((a, b) => a.rank - b.rank || (a.weight < b.weight ? 1 : -1))
    .map(({ entry }) => entry);
}

function weigh(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
