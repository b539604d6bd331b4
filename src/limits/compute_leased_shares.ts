/**
 * Divides a client account's rate among the entries.
 *
 * @module
 */

/** What one entry wants for one client account. */
export interface EntryDemand {
  readonly entry: string;
  /** Requests a second that callers asked of it. */
  readonly demandPerS: number;
}

/** Options of {@link computeLeasedShares}. */
export interface ComputeLeasedSharesOptions {
  /** Part of the rate that is split evenly, so that a new caller finds some. */
  readonly evenPart?: number;
}

/** Default of the evenly split part; see docs/design/limits.md. */
export const DEFAULT_EVEN_PART = 0.2;

/**
 * Divides a rate among entries by what each was asked for.
 *
 * A small part is split evenly, the rest max-min fairly by demand: no entry
 * gets more than it wants while another lacks. What nobody wants is split
 * evenly too, so the shares always add up to the rate.
 *
 * @param ratePerS - The client account's rate over all entries.
 * @param demands - What each live entry was asked for.
 * @param options - The part that is split evenly.
 * @returns Requests a second by entry; they add up to the rate.
 * @throws Nothing.
 * @example
 * computeLeasedShares(10, [{ entry: "vm-1", demandPerS: 3 }]);
 */
export function computeLeasedShares(
  ratePerS: number,
  demands: readonly EntryDemand[],
  options: ComputeLeasedSharesOptions = {},
): Record<string, number> {
  const { evenPart = DEFAULT_EVEN_PART } = options;
  if (demands.length === 0) return {};
  const evenPerS = (ratePerS * evenPart) / demands.length;
  const shares = new Map(demands.map(({ entry }) => [entry, evenPerS]));
  let leftPerS = ratePerS - evenPerS * demands.length;
  let wanting = demands.filter(({ demandPerS }) => demandPerS > evenPerS);
  while (wanting.length > 0 && leftPerS > 1e-9) {
    const offerPerS = leftPerS / wanting.length;
    for (const { entry, demandPerS } of wanting) {
      const has = shares.get(entry) ?? 0;
      const takes = Math.min(offerPerS, demandPerS - has);
      shares.set(entry, has + takes);
      leftPerS -= takes;
    }
    wanting = wanting.filter(({ entry, demandPerS }) =>
      demandPerS - (shares.get(entry) ?? 0) > 1e-9
    );
  }
  const restPerS = leftPerS / demands.length;
  const pairs = [...shares].map(([entry, share]) => [entry, share + restPerS]);
  return Object.fromEntries(pairs);
}
