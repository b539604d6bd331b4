/**
 * Computes which share of each upstream an entry may use.
 *
 * @module
 */

/** What the computation of shares needs to know of an upstream. */
export interface SharedUpstream {
  readonly name: string;
  /** Work per second that the upstream can do. */
  readonly speedPerS: number;
}

/** An entry's interval on the capacity ring. */
export interface CapacityInterval {
  /** Middle of the interval, from 0 to 1. */
  readonly middle: number;
  /** The entry's fraction of the total demand, from 0 to 1. */
  readonly part: number;
}

/** An entry's interval on the capacity ring of each pool, by pool. */
export type CapacityIntervals = Readonly<Record<string, CapacityInterval>>;

/** Options of {@link computeIntervalShares}. */
export interface ComputeIntervalSharesOptions {
  /** Minimum number of upstreams that an entry's interval covers. */
  readonly minUpstreams?: number;
}

/**
 * Minimum number of upstreams that an entry has a share of. With fewer, random
 * fluctuations of the load cost more than exact knowledge of it gains; 6 to 10
 * perform much the same.
 */
export const MIN_SHARED_UPSTREAMS = 8;

/**
 * Computes the share of each upstream that an entry may use.
 *
 * The capacities of all upstreams, laid end to end, form a ring. An entry's
 * fraction of the demand is an interval on it, widened to cover a minimum number
 * of upstreams. Each upstream is then shared by only a few entries, and each of
 * these knows most of the upstream's load exactly and without the delay of a
 * load report.
 *
 * @param upstreams - All upstreams, in the same order at every entry.
 * @param interval - The entry's interval on the ring.
 * @param options - The minimum number of upstreams to cover.
 * @returns The share of each upstream, from 0 to 1, in the given order.
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
  const windowBegin = middle - width / 2;
  let begin = 0;
  return upstreams.map(({ speedPerS }) => {
    const end = begin + speedPerS / total;
    const overlap = getRingOverlap({ begin, end }, {
      begin: windowBegin,
      end: windowBegin + width,
    });
    const share = (overlap / (end - begin)) * (part / width);
    begin = end;
    return share;
  });
}

interface Arc {
  readonly begin: number;
  readonly end: number;
}

function getRingOverlap(fixed: Arc, window: Arc): number {
  let overlap = 0;
  for (const offset of [-1, 0, 1]) {
    const begin = Math.max(fixed.begin, window.begin + offset);
    const end = Math.min(fixed.end, window.end + offset);
    overlap += Math.max(0, end - begin);
  }
  return overlap;
}
