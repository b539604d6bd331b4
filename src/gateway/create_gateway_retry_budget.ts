/**
 * The retry budget of a gateway: its share of the retries that all gateways together
 * may send to a service, and the retries that the leader lends it on top.
 *
 * @module
 */

import { LOAN_LIFETIME_MS, LOCAL_BUDGET_SHARE } from "../fleet/index.ts";

/** The fleet's limit on retries, and the share of this gateway. */
export interface CreateGatewayRetryBudgetOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Extra retries per window that all gateways together may send. */
  readonly extra: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
  /** Number of gateways that share the extra retries. */
  readonly getGatewayCount: () => number;
  /** Called when a retry is needed and none is left. */
  readonly onExhausted?: () => void;
  /**
   * Monotonic time, in ms, for the window. If it stops while the system is suspended,
   * fewer retries are sent, never more.
   */
  readonly now: () => number;
  /**
   * Monotonic time, in ms, that includes system suspends, for loans; the same clock
   * by default.
   */
  readonly elapsedNow?: () => number;
}

/** Retries lent by the leader. */
export interface RetryLoan {
  readonly service: string;
  readonly count: number;
  /** When this gateway asked, in ms of the clock that includes suspends. */
  readonly askedMs: number;
}

/** What paid for a retry. */
export type RetryPayer = "own" | "loan";

/** What a gateway knows of its part of the budget of a service, for the log. */
export interface RetryBudgetState {
  /** Number of gateways that the share was computed for. */
  readonly gatewayCount: number;
  readonly ownLeft: number;
  readonly lentLeft: number;
}

/** A retry budget for each service. */
export interface GatewayRetryBudget {
  noteRequest(service: string): void;
  /** Spends one retry, and tells what paid for it; undefined if none is left. */
  spend(service: string): RetryPayer | undefined;
  describe(service: string): RetryBudgetState;
  /** Retries to borrow from the leader, by service. */
  getWantedLoans(): Readonly<Record<string, number>>;
  addLoan(loan: RetryLoan): void;
}

/** Used share of the retries per request; the rest keeps the fleet below its limit. */
const USED_SHARE = 0.92;

/**
 * Share that a gateway uses in its first window, as it does not know what it spent
 * before a restart.
 */
const FIRST_USED_SHARE = 0.45;

/** Remaining retries below which a gateway that needs them borrows more. */
const LOW_RETRIES = 2;

/** Retries borrowed at a time: the streams of a failed engine. */
const LOAN_RETRIES = 4;

/** Time, in ms, after a needed retry for which loans are requested. */
const WANT_TTL_MS = 500;

interface ServiceCounts {
  requestsMs: number[];
  /** Send times of retries out of its own share. */
  retriesMs: number[];
  loans: { untilMs: number; left: number }[];
  /** When a retry was last needed, in ms. */
  lastNeededMs: number;
}

/**
 * Creates the budget.
 *
 * @param options - The fleet's limit and the gateway's share.
 * @returns The budget.
 * @throws Nothing.
 * @example
 * if (!budget.spend("advisor")) return refuse();
 */
export function createGatewayRetryBudget(
  options: CreateGatewayRetryBudgetOptions,
): GatewayRetryBudget {
  const { ratio, extra, windowMs, now, elapsedNow = now } = options;
  const services = new Map<string, ServiceCounts>();
  const startedMs = now();

  function getCounts(service: string): ServiceCounts {
    const known = services.get(service);
    const counts = known ??
      { requestsMs: [], retriesMs: [], loans: [], lastNeededMs: -Infinity };
    const sinceMs = now() - windowMs;
    for (const times of [counts.requestsMs, counts.retriesMs]) {
      while (times.length > 0 && times[0] < sinceMs) times.shift();
    }
    counts.loans = counts.loans
      .filter(({ untilMs, left }) => left > 0 && elapsedNow() < untilMs);
    services.set(service, counts);
    return counts;
  }

  function getOwnRemaining({ requestsMs, retriesMs }: ServiceCounts): number {
    const share = LOCAL_BUDGET_SHARE * extra /
      Math.max(1, options.getGatewayCount());
    const isFirst = now() - startedMs < windowMs;
    const allowed = isFirst
      ? FIRST_USED_SHARE * (ratio * requestsMs.length + share)
      : USED_SHARE * ratio * requestsMs.length + share;
    return Math.max(0, Math.floor(allowed) - retriesMs.length);
  }

  function getLent({ loans }: ServiceCounts): number {
    return loans.reduce((sum, { left }) => sum + left, 0);
  }

  function getRemaining(counts: ServiceCounts): number {
    return getOwnRemaining(counts) + getLent(counts);
  }

  function spend(service: string): RetryPayer | undefined {
    const counts = getCounts(service);
    counts.lastNeededMs = now();
    const [loan] = counts.loans;
    if (loan) {
      loan.left -= 1;
      return "loan";
    }
    if (getOwnRemaining(counts) < 1) return undefined;
    counts.retriesMs.push(now());
    return "own";
  }

  return {
    noteRequest: (service) => void getCounts(service).requestsMs.push(now()),
    spend(service) {
      const payer = spend(service);
      if (!payer) options.onExhausted?.();
      return payer;
    },
    describe(service) {
      const counts = getCounts(service);
      return {
        gatewayCount: options.getGatewayCount(),
        ownLeft: getOwnRemaining(counts),
        lentLeft: getLent(counts),
      };
    },
    getWantedLoans() {
      const wanted = [...services.keys()].flatMap((service) => {
        const counts = getCounts(service);
        const isNeeded = now() - counts.lastNeededMs < WANT_TTL_MS;
        const isLow = getRemaining(counts) < LOW_RETRIES;
        return isNeeded && isLow ? [[service, LOAN_RETRIES] as const] : [];
      });
      return Object.fromEntries(wanted);
    },
    addLoan({ service, count, askedMs }) {
      const untilMs = askedMs + LOAN_LIFETIME_MS;
      getCounts(service).loans.push({ untilMs, left: count });
    },
  };
}
