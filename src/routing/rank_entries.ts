/**
 * Which entries a caller should use.
 *
 * @module
 */

import type { LiveEntry } from "../model/index.ts";
import { rankByRendezvous } from "./rank_by_rendezvous.ts";

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
  const byVm = new Map(staying.map((entry) => [entry.vm, entry]));
  return rankByRendezvous([...byVm.keys()], `${service}\n${clientAccount}`)
    .flatMap((vm) => byVm.get(vm) ?? [])
    .sort((a, b) => rank(a) - rank(b));
}
