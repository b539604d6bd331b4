/**
 * The leader's part of the fleet-wide retry budget, lent in small amounts to gateways
 * whose local budget runs out.
 *
 * Each of 200 gateways has a local budget of 3 to 4 retries in 10 s. A gateway whose
 * streams depended on a failed engine needs more, while the budgets of the others are
 * unused: of 69 streams in one data centre that were abandoned after an attempt, 56
 * were abandoned for lack of retry budget.
 *
 * @module
 */

/** The fleet-wide retry budget. */
export interface FleetRetryBudget {
  /** Retries that all gateways together may make in each window. */
  readonly extra: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
}

/** Options of {@link createRetryLender}. */
export interface CreateRetryLenderOptions extends FleetRetryBudget {
  /**
   * Ms for which this process has been the leader. The loans of an earlier leader are
   * unknown, so nothing is lent before they have expired.
   */
  readonly getLeadershipMs: () => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Lends retries to gateways. */
export interface RetryLender {
  /** Lends as many of the wanted retries as are left; 0 if none are. */
  lend(service: string, wanted: number): number;
}

/**
 * Share of the retry budget that is lent. It is small because nothing is lent for 12 s
 * after a leader change, and a large failure needs retries at all gateways at once.
 */
export const LENDABLE_SHARE = 0.2;

/** Share of the retry budget that gateways have locally, without asking the leader. */
export const LOCAL_BUDGET_SHARE = 0.72;

/**
 * Ms for which a loan may be used, counted from the gateway's request: long enough for
 * the reply to arrive and streams to be retried.
 */
export const LOAN_LIFETIME_MS = 2_000;

interface Loan {
  readonly atMs: number;
  readonly count: number;
}

/**
 * Creates the lender. The loans of any window plus one loan lifetime never exceed the
 * lendable share. So the retries made in a window stay within the budget whenever loans
 * are used, even if gateways freeze, are partitioned or crash.
 *
 * @param options - The retry budget, and for how long this process has been leader.
 * @returns The lender.
 * @throws Nothing.
 * @example
 * const lent = lender.lend("advisor", 4);
 */
export function createRetryLender(
  options: CreateRetryLenderOptions,
): RetryLender {
  const { now } = options;
  const windowAndLoanMs = options.windowMs + LOAN_LIFETIME_MS;
  const loans = new Map<string, Loan[]>();
  return {
    lend(service, wanted) {
      if (options.getLeadershipMs() < windowAndLoanMs) return 0;
      const sinceMs = now() - windowAndLoanMs;
      const recentLoans = (loans.get(service) ?? [])
        .filter(({ atMs }) => atMs >= sinceMs);
      const lent = recentLoans.reduce((sum, { count }) => sum + count, 0);
      const left = Math.floor(LENDABLE_SHARE * options.extra - lent);
      const count = Math.max(0, Math.min(wanted, left));
      if (count > 0) recentLoans.push({ atMs: now(), count });
      loans.set(service, recentLoans);
      return count;
    },
  };
}
