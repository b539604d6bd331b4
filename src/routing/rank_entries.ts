/**
 * Ranks the entries that a caller should use.
 *
 * @module
 */

import type { LiveEntry } from "../model/index.ts";
import { rankByRendezvous } from "./rank_by_rendezvous.ts";

/** Options of {@link rankEntries}. */
export interface RankEntriesOptions {
  readonly service: string;
  readonly clientAccount: string;
  /** The caller's place, if it sent one. */
  readonly place?: string;
}

/**
 * Ranks the entries for a service and a client account.
 *
 * Rendezvous hashing gives each pair its own order, which changes little when
 * entries join or leave, so prefix caches stay warm. Entries in the caller's
 * place come first and overloaded ones last; leaving entries are excluded.
 *
 * @param entries - The live entries.
 * @param options - The service, the client account, the caller's place.
 * @returns The entries, in order of preference.
 * @throws Nothing.
 * @example
 * const ranked = rankEntries(entries, { service, clientAccount });
 */
export function rankEntries(
  entries: readonly LiveEntry[],
  options: RankEntriesOptions,
): LiveEntry[] {
  const { service, clientAccount, place } = options;
  const remaining = entries.filter((entry) => !entry.leaving);
  const getPenalty = (entry: LiveEntry) => {
    const overloadPenalty = entry.overloaded ? 2 : 0;
    const distancePenalty = place !== undefined && entry.place !== place
      ? 1
      : 0;
    return overloadPenalty + distancePenalty;
  };
  const byVm = new Map(remaining.map((entry) => [entry.vm, entry]));
  return rankByRendezvous([...byVm.keys()], `${service}\n${clientAccount}`)
    .flatMap((vm) => byVm.get(vm) ?? [])
    .sort((a, b) => getPenalty(a) - getPenalty(b));
}
