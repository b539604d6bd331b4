/**
 * Which part of each upstream an entry may count on.
 *
 * @module
 */

/** An upstream as far as shares are concerned. */
export interface SharedUpstream {
  readonly name: string;
  /** Work that it does in a second. */
  readonly speedPerS: number;
}

/** An entry's place on the ring of all capacity. */
export interface CapacityInterval {
  /** Middle of the entry's part, from 0 to 1. */
  readonly middle: number;
  /** The entry's part of all demand, from 0 to 1. */
  readonly part: number;
}

/** An entry's place on the ring of each pool's capacity, by pool. */
export type CapacityIntervals = Readonly<Record<string, CapacityInterval>>;

/** Options of {@link computeIntervalShares}. */
export interface ComputeIntervalSharesOptions {
  /** Upstreams that an entry shall at least have a share of. */
  readonly minUpstreams?: number;
}

/**
 * Upstreams that an entry has at least a share of. Fewer lose to chance what
 * they gain by being known exactly; from 6 to 10 the runs differ little.
 */
export const MIN_SHARED_UPSTREAMS = 8;

/**
 * Computes the part of each upstream that an entry may count on.
 *
 * The capacity of all upstreams, laid end to end, is a ring; an entry's part
 * of the demand is an interval of it, widened so that it covers a few
 * upstreams. An upstream is then shared by few entries, each of which knows
 * most of its load exactly and at once, which no lagging report can give.
 *
 * @param upstreams - All upstreams, in the same order at every entry.
 * @param interval - The entry's place on the ring.
 * @param options - How many upstreams it shall at least cover.
 * @returns The part of each upstream, from 0 to 1, in the order given.
 * @throws Nothing.
 * @example
 * const shares = computeIntervalShares(upstreams, { middle: 0.5, part: 0.1 });
 */
export function computeIntervalShares(
  upstreams: readonly SharedUpstream[],
  interval: CapacityInterval,
  options: ComputeIntervalSharesOptions = {},
): number[] {
  const { minUpstreams = MIN_SHARED_UPSTREAMS } = options;
  const { middle, part } = interval;
  const total = upstreams.reduce((sum, { speedPerS }) => sum + speedPerS, 0);
  const width = Math.min(1, Math.max(part, minUpstreams / upstreams.length));
  const from = middle - width / 2;
  let begin = 0;
  return upstreams.map(({ speedPerS }) => {
    const end = begin + speedPerS / total;
    const overlap = getRingOverlap({ begin, end }, {
      begin: from,
      end: from + width,
    });
    const share = (overlap / (end - begin)) * (part / width);
    begin = end;
    return share;
  });
}

interface Span {
  readonly begin: number;
  readonly end: number;
}

function getRingOverlap(fixed: Span, moving: Span): number {
  let overlap = 0;
  for (const turn of [-1, 0, 1]) {
    const begin = Math.max(fixed.begin, moving.begin + turn);
    const end = Math.min(fixed.end, moving.end + turn);
    overlap += Math.max(0, end - begin);
  }
  return overlap;
}
