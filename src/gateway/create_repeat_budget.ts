/**
 * This gateway's share of the repeats that all gateways together may send to
 * a service, and what the leader lends it on top.
 *
 * @module
 */

import { LOAN_MS, OWN_EXTRA_SHARE } from "../fleet/index.ts";

/** The fleet's bound on repeats, and the share of this gateway. */
export interface CreateRepeatBudgetOptions {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed, on top, in each window by all gateways together. */
  readonly extra: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
  /** Gateways among which the extra is divided. */
  readonly getGatewayCount: () => number;
  /** Called when a repeat is wanted and none is left. */
  readonly onShort?: () => void;
  /**
   * Monotonic time, in ms, for the window: where it stands still while the machine
   * is suspended, fewer repeats are sent, never more.
   */
  readonly now: () => number;
  /**
   * Monotonic time, in ms, that counts suspensions, for loans; the same clock by
   * default.
   */
  readonly elapsedNow?: () => number;
}

/** Repeats that are lent. */
export interface RepeatLoan {
  readonly service: string;
  readonly count: number;
  /** When this gateway asked, in ms of the clock that counts suspensions. */
  readonly askedMs: number;
}

/** A budget of repeats by service. */
export interface RepeatBudget {
  noteRequest(service: string): void;
  /** Spends one repeat; false where none is left. */
  spend(service: string): boolean;
  /** Repeats that it would borrow, by service; the leader is told so. */
  getWanted(): Readonly<Record<string, number>>;
  takeLoan(loan: RepeatLoan): void;
}

/** Share of the repeats for each request that is used, so that none is one over. */
const USED_SHARE = 0.92;

/**
 * Share that a gateway uses in its first window: what it spent before a restart
 * it does not know.
 */
const FIRST_USED_SHARE = 0.45;

/** Repeats left below which a gateway that needs them borrows more. */
const LOW_REPEATS = 2;

/** Repeats that it borrows at a time: the streams of a lost engine. */
const LOAN_REPEATS = 4;

/** Ms for which a want that was not met is told again. */
const WANT_MS = 500;

interface Counts {
  requestsMs: number[];
  /** Repeats of its own share. */
  repeatsMs: number[];
  loans: { untilMs: number; left: number }[];
  /** When a repeat was last asked for, in ms. */
  neededMs: number;
}

/**
 * Makes the budget.
 *
 * @param options - The bound and the gateway's share.
 * @returns The budget.
 * @throws Nothing.
 * @example
 * if (!budget.spend("advisor")) return refuse();
 */
export function createRepeatBudget(
  options: CreateRepeatBudgetOptions,
): RepeatBudget {
  const { ratio, extra, windowMs, now, elapsedNow = now } = options;
  const services = new Map<string, Counts>();
  const startedMs = now();

  function getCounts(service: string): Counts {
    const known = services.get(service);
    const counts = known ??
      { requestsMs: [], repeatsMs: [], loans: [], neededMs: -Infinity };
    const sinceMs = now() - windowMs;
    for (const times of [counts.requestsMs, counts.repeatsMs]) {
      while (times.length > 0 && times[0] < sinceMs) times.shift();
    }
    counts.loans = counts.loans
      .filter(({ untilMs, left }) => left > 0 && elapsedNow() < untilMs);
    services.set(service, counts);
    return counts;
  }

  function getOwnLeft({ requestsMs, repeatsMs }: Counts): number {
    const share = OWN_EXTRA_SHARE * extra /
      Math.max(1, options.getGatewayCount());
    const isFirst = now() - startedMs < windowMs;
    const allowed = isFirst
      ? FIRST_USED_SHARE * (ratio * requestsMs.length + share)
      : USED_SHARE * ratio * requestsMs.length + share;
    return Math.max(0, Math.floor(allowed) - repeatsMs.length);
  }

  function getLeft(counts: Counts): number {
    const lent = counts.loans.reduce((sum, { left }) => sum + left, 0);
    return getOwnLeft(counts) + lent;
  }

  function spend(service: string): boolean {
    const counts = getCounts(service);
    counts.neededMs = now();
    const [loan] = counts.loans;
    if (loan) {
      loan.left -= 1;
      return true;
    }
    if (getOwnLeft(counts) < 1) return false;
    counts.repeatsMs.push(now());
    return true;
  }

  return {
    noteRequest: (service) => void getCounts(service).requestsMs.push(now()),
    spend(service) {
      const isSpent = spend(service);
      if (!isSpent) options.onShort?.();
      return isSpent;
    },
    getWanted() {
      const wanted = [...services.keys()].flatMap((service) => {
        const counts = getCounts(service);
        const isNeeded = now() - counts.neededMs < WANT_MS;
        const isLow = getLeft(counts) < LOW_REPEATS;
        return isNeeded && isLow ? [[service, LOAN_REPEATS] as const] : [];
      });
      return Object.fromEntries(wanted);
    },
    takeLoan({ service, count, askedMs }) {
      const untilMs = askedMs + LOAN_MS;
      getCounts(service).loans.push({ untilMs, left: count });
    },
  };
}
