/**
 * Assigns each entry an interval on the capacity ring.
 *
 * @module
 */

import type { CapacityInterval } from "./compute_interval_shares.ts";

/** Demand at one entry. */
export interface EntryLoad {
  readonly entry: string;
  /** Requests per second, or any other unit that is the same at all entries. */
  readonly demandPerS: number;
}

/** Options of {@link computeEntryIntervals}. */
export interface ComputeEntryIntervalsOptions {
  /** Minimum demand that an entry is assumed to have, as a fraction of the mean. */
  readonly floor?: number;
}

/** Default minimum; it reserves capacity for the first callers of an idle entry. */
export const DEFAULT_INTERVAL_FLOOR = 0.25;

/**
 * Computes the interval of each entry on the capacity ring, in proportion to its
 * demand.
 *
 * @param loads - The demand at each live entry.
 * @param options - The minimum for an idle entry.
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
  const minWeight = total === 0 ? 1 : (total / ordered.length) * floor;
  const weights = ordered.map(({ demandPerS }) =>
    Math.max(minWeight, demandPerS)
  );
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
