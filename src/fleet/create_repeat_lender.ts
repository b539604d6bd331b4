/**
 * The leader's part of the fleet's repeats, lent in small numbers to gateways
 * whose own part runs out.
 *
 * Each of 200 gateways has 3 to 4 repeats in 10 s by itself. One whose streams
 * hung on a lost engine needs more, while the others' lie unused: of 69 streams
 * of one data centre that were given up after a try, 56 were for want of them.
 *
 * @module
 */

/** How the fleet's repeats are divided. */
export interface RepeatBounds {
  /** Repeats allowed in each window by all gateways together. */
  readonly extra: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
}

/** What the lender needs. */
export interface CreateRepeatLenderOptions extends RepeatBounds {
  /**
   * Ms since which no other leader has lent. What an earlier one lent is not
   * known, so nothing is lent before it has run out.
   */
  readonly getLeadsForMs: () => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Lends repeats. */
export interface RepeatLender {
  /** Lends as many as are wanted and left; 0 where none are. */
  lend(service: string, wanted: number): number;
}

/**
 * Share of the extra repeats that is lent. Little of it: for 12 s after a change of
 * leaders nothing is, and a large loss asks for repeats at all gateways at once.
 */
export const LENT_SHARE = 0.2;

/** Share of the extra repeats that gateways have without asking. */
export const OWN_EXTRA_SHARE = 0.72;

/**
 * Ms, from the moment at which a gateway asks, for which what it is lent may be
 * used: long enough for the answer to come and streams to be sent again.
 */
export const LOAN_MS = 2_000;

interface Loan {
  readonly atMs: number;
  readonly count: number;
}

/**
 * Makes the lender. What is lent in a window and the life of a loan together
 * never exceeds its share: whenever loans are used, also late ones, by gateways
 * that freeze, are cut off or die, the uses of a window keep to the bound.
 *
 * @param options - The bounds, and for how long this process leads.
 * @returns The lender.
 * @throws Nothing.
 * @example
 * const lent = lender.lend("advisor", 4);
 */
export function createRepeatLender(
  options: CreateRepeatLenderOptions,
): RepeatLender {
  const { now } = options;
  const spanMs = options.windowMs + LOAN_MS;
  const loans = new Map<string, Loan[]>();
  return {
    lend(service, wanted) {
      if (options.getLeadsForMs() < spanMs) return 0;
      const sinceMs = now() - spanMs;
      const fresh = (loans.get(service) ?? [])
        .filter(({ atMs }) => atMs >= sinceMs);
      const lent = fresh.reduce((sum, { count }) => sum + count, 0);
      const left = Math.floor(LENT_SHARE * options.extra - lent);
      const count = Math.max(0, Math.min(wanted, left));
      if (count > 0) fresh.push({ atMs: now(), count });
      loans.set(service, fresh);
      return count;
    },
  };
}
