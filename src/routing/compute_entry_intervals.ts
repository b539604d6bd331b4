/**
 * The places of all entries on the ring of capacity.
 *
 * @module
 */

import type { CapacityInterval } from "./compute_interval_shares.ts";

/** What one entry is asked for. */
export interface EntryLoad {
  readonly entry: string;
  /** Requests a second, or any measure that is the same at all entries. */
  readonly demandPerS: number;
}

/** Options of {@link computeEntryIntervals}. */
export interface ComputeEntryIntervalsOptions {
  /** Part of the mean that an entry without demand is given. */
  readonly floor?: number;
}

/** Part of the mean demand that an idle entry is given, for its first callers. */
export const DEFAULT_INTERVAL_FLOOR = 0.25;

/**
 * Computes the places of all entries on the ring of capacity.
 *
 * @param loads - What each live entry is asked for.
 * @param options - What an idle entry is given.
 * @returns Each entry's interval; together they cover the ring.
 * @throws Nothing.
 * @example
 * const intervals = computeEntryIntervals([{ entry: "e1", demandPerS: 5 }]);
 */
export function computeEntryIntervals(
  loads: readonly EntryLoad[],
  options: ComputeEntryIntervalsOptions = {},
): Record<string, CapacityInterval> {
  const { floor = DEFAULT_INTERVAL_FLOOR } = options;
  const ordered = [...loads].sort((a, b) => a.entry < b.entry ? -1 : 1);
  const total = ordered.reduce((sum, { demandPerS }) => sum + demandPerS, 0);
  const least = total === 0 ? 1 : (total / ordered.length) * floor;
  const weights = ordered.map(({ demandPerS }) => Math.max(least, demandPerS));
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
  let begin = 0;
  const pairs = ordered.map(({ entry }, at) => {
    const part = weights[at] / weightSum;
    const interval = { middle: begin + part / 2, part };
    begin += part;
    return [entry, interval] as const;
  });
  return Object.fromEntries(pairs);
}
