/**
 * The account of a fleet's retries: how many may be sent in a window, how many were,
 * and how many are lent to processes that may still send them.
 *
 * A retry that is lent counts until its process reports what became of it. If that
 * process never does, it counts as sent at the last moment at which it could have been,
 * so no crash, partition or restart frees what may have been used.
 *
 * @module
 */

import {
  createSlidingCount,
  type SlidingCount,
} from "./create_sliding_count.ts";

/** The fleet's limit on retries of one service. */
export interface RetryLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed beyond that in each window. */
  readonly extra: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
}

/** Options of {@link createRetryLedger}. */
export interface CreateRetryLedgerOptions extends RetryLimits {
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** A holder's retries of one service. */
export interface RetryAmount {
  readonly service: string;
  /** The process that holds them; no two processes have the same name. */
  readonly holder: string;
  readonly count: number;
}

/** The account of a fleet's retries, by service. */
export interface RetryLedger {
  /** Adds requests that were received `ageMs` ago; now by default. */
  noteRequests(service: string, count: number, ageMs?: number): void;
  /** Records retries that a process was lent. */
  noteLent(lent: RetryAmount): void;
  /** Records retries that a process has sent. */
  noteSent(sent: RetryAmount): void;
  /** Records retries that a process has given back unused. */
  noteReturned(returned: RetryAmount): void;
  /** Counts retries that an earlier ledger may have lent. */
  inherit(service: string, count: number): void;
  /**
   * Accounts for inherited retries: `count` of them were sent `ageMs` ago.
   */
  noteInheritedSent(service: string, count: number, ageMs: number): void;
  /** Accounts for inherited retries that a process still holds. */
  noteInheritedHeld(held: RetryAmount): void;
  /** Retries allowed in the window that ends now. */
  getAllowed(service: string): number;
  /** Retries that were sent in that window, or may still be sent. */
  getUsed(service: string): number;
  listServices(): readonly string[];
  /** Removes what has expired. */
  tick(): void;
}

/** Ms for which a retry may be used, counted from when it was requested. */
export const RETRY_LIFETIME_MS = 4_000;

/** Ms of age for each of the counts in a report, the newest first. */
export const REPORT_STEP_MS = 250;

/** Used share of the limit; the rest is for retries that reach upstreams late. */
const USED_SHARE = 0.95;

interface Loan {
  count: number;
  /** Time, in ms, until which it counts unless it is reported before. */
  readonly countsUntilMs: number;
}

interface ServiceAccount {
  readonly requests: SlidingCount;
  readonly sent: SlidingCount;
  readonly loans: Map<string, Loan[]>;
  /** Sum of all loans. */
  lent: number;
  inherited: number;
  inheritedUntilMs: number;
}

/**
 * Creates an empty ledger.
 *
 * @param options - The limit and the clock.
 * @returns The ledger.
 * @throws Nothing.
 * @example
 * const ledger = createRetryLedger({ ratio: 0.2, extra: 100, windowMs: 10_000, now });
 */
export function createRetryLedger(
  options: CreateRetryLedgerOptions,
): RetryLedger {
  const { ratio, extra, windowMs, now } = options;
  const accounts = new Map<string, ServiceAccount>();

  function getAccount(service: string): ServiceAccount {
    const known = accounts.get(service);
    if (known) return known;
    const account: ServiceAccount = {
      requests: createSlidingCount(options),
      sent: createSlidingCount(options),
      loans: new Map(),
      lent: 0,
      inherited: 0,
      inheritedUntilMs: -Infinity,
    };
    accounts.set(service, account);
    return account;
  }

  function settle({ service, holder, count }: RetryAmount): void {
    const account = getAccount(service);
    let left = count;
    for (const loan of account.loans.get(holder) ?? []) {
      const settled = Math.min(left, loan.count);
      loan.count -= settled;
      left -= settled;
      account.lent -= settled;
    }
  }

  function removeExpiredLoans(account: ServiceAccount): void {
    for (const [holder, loans] of account.loans) {
      const counting = loans.filter(({ count, countsUntilMs }) =>
        count > 0 && countsUntilMs > now()
      );
      if (counting.length > 0) account.loans.set(holder, counting);
      else account.loans.delete(holder);
    }
    account.lent = [...account.loans.values()].flat()
      .reduce((sum, { count }) => sum + count, 0);
  }

  function noteLent({ service, holder, count }: RetryAmount): void {
    const account = getAccount(service);
    const loans = account.loans.get(holder) ?? [];
    const countsUntilMs = now() + RETRY_LIFETIME_MS + windowMs;
    loans.push({ count, countsUntilMs });
    account.loans.set(holder, loans);
    account.lent += count;
  }

  function takeInherited(service: string, count: number): void {
    const account = getAccount(service);
    account.inherited = Math.max(0, account.inherited - count);
  }

  return {
    noteRequests(service, count, ageMs = 0) {
      getAccount(service).requests.add(count, now() - ageMs);
    },
    noteLent,
    noteSent(sent) {
      settle(sent);
      getAccount(sent.service).sent.add(sent.count);
    },
    noteReturned: settle,
    inherit(service, count) {
      const account = getAccount(service);
      account.inherited = count;
      account.inheritedUntilMs = now() + RETRY_LIFETIME_MS + windowMs;
    },
    noteInheritedSent(service, count, ageMs) {
      takeInherited(service, count);
      getAccount(service).sent.add(count, now() - ageMs);
    },
    noteInheritedHeld(held) {
      takeInherited(held.service, held.count);
      noteLent(held);
    },
    getAllowed: (service) =>
      USED_SHARE * (ratio * getAccount(service).requests.get() + extra),
    getUsed(service) {
      const { sent, lent, inherited, inheritedUntilMs } = getAccount(service);
      return sent.get() + lent + (now() < inheritedUntilMs ? inherited : 0);
    },
    listServices: () => [...accounts.keys()],
    tick: () => accounts.forEach(removeExpiredLoans),
  };
}
