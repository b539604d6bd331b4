/**
 * A gateway's part of the fleet's retry budget: the retries that the leader has lent
 * it. It sends none on its own account, so a process that starts, or that can't reach
 * the leader, adds nothing to what the fleet may send.
 *
 * @module
 */

import type { EarlierRetries, RetryReport } from "../fleet/index.ts";
import { REPORT_STEP_MS, RETRY_LIFETIME_MS } from "../retry/index.ts";

/** Options of {@link createGatewayRetryBudget}. */
export interface CreateGatewayRetryBudgetOptions {
  /** Length of the window of the limit, in ms. */
  readonly windowMs: number;
  /** Called when retries are needed that the leader has not been asked for. */
  readonly onNeeded?: () => void;
  /** Called for each call that is denied a retry. */
  readonly onDenied?: () => void;
  /** Monotonic time, in ms, that includes system suspends. */
  readonly now: () => number;
  readonly setTimer?: (run: () => void, delayMs: number) => void;
}

/** What paid for a retry. */
export type RetryPayer = "loan";

/** What a gateway knows of the budget of a service, for the log. */
export interface RetryBudgetState {
  readonly lentLeft: number;
  /** Calls that wait for a retry. */
  readonly waiting: number;
}

/** Retries lent by the leader. */
export interface RetryLoan {
  /** Retries by service; 0 for a service of which none is left. */
  readonly counts: Readonly<Record<string, number>>;
  /** When this gateway asked, in ms. */
  readonly askedMs: number;
}

/** A retry budget for each service. */
export interface GatewayRetryBudget {
  noteRequest(service: string): void;
  /** Spends one retry, and tells what paid for it; undefined if none is left. */
  spend(service: string): RetryPayer | undefined;
  /** Waits until a retry is lent; false if the leader has none, or does not answer. */
  waitForRetry(service: string): Promise<boolean>;
  describe(service: string): RetryBudgetState;
  /** Returns and clears what is to be reported to the leader. */
  takeReports(): Readonly<Record<string, RetryReport>>;
  addLoan(loan: RetryLoan): void;
  /** Starts a session: what was lent before is reported to a new leader only. */
  beginSession(options: { readonly isNewLeader: boolean }): void;
}

/** Retries held of each service in use, for the time in which no leader can be asked. */
const SPARE_RETRIES = 3;

/** Ms before their expiry at which spare retries are replaced. */
const RENEWAL_MS = RETRY_LIFETIME_MS / 2;

/** Ms that a call waits for the leader's answer: a few round trips. */
const ANSWER_TIMEOUT_MS = 120;

interface Loan {
  readonly untilMs: number;
  /** The session in which it is reported. */
  session: number;
  left: number;
}

interface Waiter {
  readonly sinceMs: number;
  readonly resolve: (isLent: boolean) => void;
}

interface ServiceState {
  /** Times of the requests in the window. */
  requestsMs: number[];
  /** Requests up to this time are reported. */
  reportedUntilMs: number;
  loans: Loan[];
  /** Times of the retries sent in the window. */
  sentMs: number[];
  /** Whether the leader is to be told of what earlier ones have lent. */
  reportsEarlier: boolean;
  waiters: Waiter[];
  sent: number;
  returned: number;
  /** Retries that were needed and not there since the last report. */
  needed: number;
}

/**
 * Creates the budget, with nothing lent.
 *
 * @param options - The window and the clock.
 * @returns The budget.
 * @throws Nothing.
 * @example
 * if (!budget.spend("advisor")) await budget.waitForRetry("advisor");
 */
export function createGatewayRetryBudget(
  options: CreateGatewayRetryBudgetOptions,
): GatewayRetryBudget {
  const { windowMs, now, setTimer = setTimeout } = options;
  const services = new Map<string, ServiceState>();
  let session = 0;

  function getState(service: string): ServiceState {
    const known = services.get(service);
    if (known) return known;
    const state: ServiceState = {
      requestsMs: [],
      reportedUntilMs: -Infinity,
      loans: [],
      sentMs: [],
      reportsEarlier: false,
      waiters: [],
      sent: 0,
      returned: 0,
      needed: 0,
    };
    services.set(service, state);
    return state;
  }

  function countLent({ loans }: ServiceState): number {
    return loans.reduce((sum, { left }) => sum + left, 0);
  }

  function giveBack(state: ServiceState, loan: Loan, count: number): void {
    loan.left -= count;
    if (loan.session === session) state.returned += count;
  }

  function removeExpired(state: ServiceState): void {
    state.requestsMs = dropBefore(state.requestsMs, now() - windowMs);
    state.sentMs = dropBefore(state.sentMs, now() - windowMs);
    for (const loan of state.loans) {
      if (loan.untilMs <= now()) giveBack(state, loan, loan.left);
    }
    state.loans = state.loans.filter(({ left }) => left > 0);
  }

  // Gives back the oldest of the retries that no call has taken.
  function returnSurplus(state: ServiceState): void {
    let surplus = countLent(state) - SPARE_RETRIES;
    for (const loan of state.loans) {
      if (surplus <= 0) return;
      const count = Math.min(surplus, loan.left);
      giveBack(state, loan, count);
      surplus -= count;
    }
  }

  function countSpareWanted(
    { requestsMs, loans, waiters }: ServiceState,
  ): number {
    if (requestsMs.length === 0 || waiters.length > 0) return 0;
    const lasting = loans.filter(({ untilMs }) => untilMs - now() > RENEWAL_MS)
      .reduce((sum, { left }) => sum + left, 0);
    return Math.max(0, SPARE_RETRIES - lasting);
  }

  function takeRequestCounts(state: ServiceState): number[] {
    const unreported = dropBefore(state.requestsMs, state.reportedUntilMs);
    state.reportedUntilMs = now();
    return countByAge(unreported, now());
  }

  // The loans are reported like those of this session from now on.
  function takeEarlier(state: ServiceState): EarlierRetries | undefined {
    if (!state.reportsEarlier) return undefined;
    state.reportsEarlier = false;
    const earlier = state.loans.filter((loan) => loan.session !== session);
    const held = earlier.reduce((sum, { left }) => sum + left, 0);
    for (const loan of earlier) loan.session = session;
    const sent = countByAge(state.sentMs, now());
    return sent.length > 0 || held > 0 ? { sent, held } : undefined;
  }

  function takeReport(state: ServiceState): RetryReport {
    removeExpired(state);
    const earlier = takeEarlier(state);
    returnSurplus(state);
    const requests = takeRequestCounts(state);
    const { sent, returned, needed } = state;
    const spare = countSpareWanted(state);
    Object.assign(state, { sent: 0, returned: 0, needed: 0 });
    return {
      ...(requests.length > 0 ? { requests } : {}),
      ...(earlier ? { earlier } : {}),
      ...(sent > 0 ? { sent } : {}),
      ...(returned > 0 ? { returned } : {}),
      ...(needed > 0 ? { needed } : {}),
      ...(spare > 0 ? { spare } : {}),
    };
  }

  function spend(state: ServiceState): RetryPayer | undefined {
    removeExpired(state);
    const [loan] = state.loans;
    if (!loan) return undefined;
    loan.left -= 1;
    state.sentMs.push(now());
    if (loan.session === session) state.sent += 1;
    return "loan";
  }

  // Calls that began to wait after the question are answered by the next one.
  function wakeWaiters(state: ServiceState, askedMs: number): void {
    let left = countLent(state);
    const later: Waiter[] = [];
    for (const waiter of state.waiters) {
      const isLent = left > 0;
      if (isLent) left -= 1;
      if (isLent || waiter.sinceMs <= askedMs) answer(waiter, isLent);
      else later.push(waiter);
    }
    state.waiters = later;
  }

  function timeOut(state: ServiceState, waiter: Waiter): void {
    if (!state.waiters.includes(waiter)) return;
    state.waiters = state.waiters.filter((one) => one !== waiter);
    answer(waiter, false);
  }

  function answer({ resolve }: Waiter, isLent: boolean): void {
    if (!isLent) options.onDenied?.();
    resolve(isLent);
  }

  return {
    noteRequest: (service) => void getState(service).requestsMs.push(now()),
    spend(service) {
      const state = getState(service);
      const payer = spend(state);
      if (payer) return payer;
      state.needed += 1;
      options.onNeeded?.();
      return undefined;
    },
    waitForRetry(service) {
      const state = getState(service);
      return new Promise((resolve) => {
        const waiter = { sinceMs: now(), resolve };
        state.waiters.push(waiter);
        setTimer(() => timeOut(state, waiter), ANSWER_TIMEOUT_MS);
      });
    },
    describe(service) {
      const state = getState(service);
      removeExpired(state);
      return { lentLeft: countLent(state), waiting: state.waiters.length };
    },
    takeReports() {
      const reports = [...services].map(([service, state]) =>
        [service, takeReport(state)] as const
      );
      return Object.fromEntries(
        reports.filter(([, report]) => Object.keys(report).length > 0),
      );
    },
    addLoan({ counts, askedMs }) {
      const untilMs = askedMs + RETRY_LIFETIME_MS;
      for (const [service, count] of Object.entries(counts)) {
        const state = getState(service);
        removeExpired(state);
        if (count > 0) state.loans.push({ untilMs, session, left: count });
        wakeWaiters(state, askedMs);
        if (state.waiters.length > 0) options.onNeeded?.();
      }
    },
    beginSession({ isNewLeader }) {
      session += 1;
      for (const state of services.values()) {
        state.sent = 0;
        state.returned = 0;
        if (!isNewLeader) continue;
        // A new leader has not been told of anything.
        state.reportedUntilMs = -Infinity;
        state.reportsEarlier = true;
      }
    },
  };
}

/** The sorted times after `sinceMs`. */
function dropBefore(timesMs: number[], sinceMs: number): number[] {
  const firstAt = timesMs.findIndex((ms) => ms > sinceMs);
  if (firstAt === 0) return timesMs;
  return firstAt < 0 ? [] : timesMs.slice(firstAt);
}

/** Counts times by their age, in steps of a report. */
function countByAge(timesMs: readonly number[], nowMs: number): number[] {
  const counts: number[] = [];
  for (const ms of timesMs) {
    const at = Math.floor((nowMs - ms) / REPORT_STEP_MS);
    counts[at] = (counts[at] ?? 0) + 1;
  }
  return Array.from(counts, (count = 0) => count);
}
