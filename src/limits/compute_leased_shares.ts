/**
 * Splits a client account's rate limit among the entries.
 *
 * @module
 */

/** One entry's demand for one client account. */
export interface EntryDemand {
  readonly entry: string;
  /** Requests per second that callers sent to the entry. */
  readonly demandPerS: number;
}

/** Options of {@link computeLeasedShares}. */
export interface ComputeLeasedSharesOptions {
  /** Fraction of the rate that is split evenly, so that a new caller is not rejected. */
  readonly evenFraction?: number;
}

/** Default fraction of the rate that is split evenly; see docs/design/limits.md. */
export const DEFAULT_EVEN_FRACTION = 0.2;

/**
 * Splits a rate among entries according to their demand.
 *
 * A small fraction is split evenly and the rest by max-min fairness: no entry
 * gets more than its demand while another's demand is unmet. Any surplus is
 * split evenly too, so the shares always add up to the rate.
 *
 * @param ratePerS - The client account's rate limit across all entries.
 * @param demands - The demand at each live entry.
 * @param options - The fraction that is split evenly.
 * @returns Requests per second by entry; they add up to the rate.
 * @throws Nothing.
 * @example
 * computeLeasedShares(10, [{ entry: "vm-1", demandPerS: 3 }]);
 */
export function computeLeasedShares(
  ratePerS: number,
  demands: readonly EntryDemand[],
  options: ComputeLeasedSharesOptions = {},
): Record<string, number> {
  const { evenFraction = DEFAULT_EVEN_FRACTION } = options;
  if (demands.length === 0) return {};
  const evenPerS = (ratePerS * evenFraction) / demands.length;
  const shares = new Map(demands.map(({ entry }) => [entry, evenPerS]));
  let remainingPerS = ratePerS - evenPerS * demands.length;
  let unsatisfied = demands.filter(({ demandPerS }) => demandPerS > evenPerS);
  while (unsatisfied.length > 0 && remainingPerS > 1e-9) {
    const equalSharePerS = remainingPerS / unsatisfied.length;
    for (const { entry, demandPerS } of unsatisfied) {
      const currentPerS = shares.get(entry) ?? 0;
      const addedPerS = Math.min(equalSharePerS, demandPerS - currentPerS);
      shares.set(entry, currentPerS + addedPerS);
      remainingPerS -= addedPerS;
    }
    unsatisfied = unsatisfied.filter(({ entry, demandPerS }) =>
      demandPerS - (shares.get(entry) ?? 0) > 1e-9
    );
  }
  const surplusPerS = remainingPerS / demands.length;
  const pairs = [...shares].map((
    [entry, share],
  ) => [entry, share + surplusPerS]);
  return Object.fromEntries(pairs);
}
