/**
 * The leader's part of the fleet's retry budget: lends gateways the retries that they
 * need, and a few spare ones for the time in which there is no leader.
 *
 * The next leader has to know what this one may have lent. So the quorum holds a
 * ceiling for each service, and nothing is lent beyond it; the next leader counts the
 * ceiling as used until all that it may stand for has expired.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import {
  createRetryLedger,
  REPORT_STEP_MS,
  type RetryLedger,
  type RetryLimits,
} from "../retry/index.ts";
import type { FleetCommand } from "./create_fleet_state_machine.ts";
import type { RetryReport } from "./messages.ts";

/** Options of {@link createRetryLender}. */
export interface CreateRetryLenderOptions extends RetryLimits {
  /** Ceilings in the quorum's log, by service. */
  readonly getCeilings: () => ReadonlyMap<string, number>;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  /** Whether this process certainly is the only leader. */
  readonly hasLease: () => boolean;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
}

/** Reports of a gateway on its retries, by service. */
export type RetryReports = Readonly<Record<string, RetryReport>>;

/** Lends retries to gateways. */
export interface RetryLender {
  /** Takes the reports of a process, and lends what it asks for as far as possible. */
  handleReports(
    holder: string,
    reports: RetryReports,
  ): Promise<Readonly<Record<string, number>>>;
  /** Starts over: called once a new leader has loaded the state of earlier ones. */
  beginTerm(): void;
  /** Lends nothing until the next term: the state of earlier leaders is not known. */
  endTerm(): void;
  /** Lowers ceilings that are no longer needed; for the leader only. */
  tick(): void;
}

/** Share of the limit up to which spare retries are lent, too. */
const SPARE_SHARE = 0.5;

/** Steps of a ceiling, as a share of the retries allowed without any request. */
const CEILING_STEP_SHARE = 1 / 8;

/** Attempts to raise a ceiling for one request of a gateway. */
const MAX_RAISES = 2;

interface Wanted {
  readonly service: string;
  readonly needed: number;
  readonly spare: number;
}

/**
 * Creates the lender. It lends nothing before its first term begins.
 *
 * @param options - The limit, and the log of the quorum.
 * @returns The lender.
 * @throws Nothing.
 * @example
 * const lent = await lender.handleReports("vm-1/7f3a", { advisor: { needed: 4 } });
 */
export function createRetryLender(
  options: CreateRetryLenderOptions,
): RetryLender {
  const { getCeilings, propose, log } = options;
  const step = Math.ceil(options.extra * CEILING_STEP_SHARE) + 1;
  let ledger: RetryLedger | undefined;
  // Ceilings to propose next, and those whose proposal is not decided yet.
  let requested = new Map<string, number>();
  let proposed = new Map<string, number>();
  let proposing: Promise<void> | undefined;

  // A lower ceiling binds as soon as it is requested, a higher one once it is applied.
  function getCeiling(service: string): number {
    const undecided = [proposed, requested].map((ceilings) =>
      ceilings.get(service) ?? Infinity
    );
    return Math.min(getCeilings().get(service) ?? 0, ...undecided);
  }

  function requestCeiling(service: string, ceiling: number): Promise<void> {
    const known = requested.get(service) ?? 0;
    requested.set(service, Math.max(known, Math.ceil(ceiling)));
    proposing ??= proposeCeilings();
    return proposing;
  }

  async function proposeCeilings(): Promise<void> {
    // Requests of the same event loop turn share a proposal.
    await Promise.resolve();
    proposed = requested;
    requested = new Map();
    await propose({ type: "retryCeilings", ceilings: [...proposed] })
      .catch((error) => log("retryCeilingsNotRecorded", { error }));
    proposed = new Map();
    proposing = undefined;
  }

  function takeReport(
    account: RetryLedger,
    { service, holder, report }: {
      readonly service: string;
      readonly holder: string;
      readonly report: RetryReport;
    },
  ): void {
    const { requests = [], earlier, sent = 0, returned = 0 } = report;
    requests.forEach((count, at) => {
      // Counts but the newest are taken to be as old as they can be.
      const ageMs = at === 0 ? 0 : (at + 1) * REPORT_STEP_MS;
      account.noteRequests(service, count, ageMs);
    });
    earlier?.sent.forEach((count, at) =>
      account.noteInheritedSent(service, count, at * REPORT_STEP_MS)
    );
    if (earlier && earlier.held > 0) {
      account.noteInheritedHeld({ service, holder, count: earlier.held });
    }
    if (sent > 0) account.noteSent({ service, holder, count: sent });
    if (returned > 0) {
      account.noteReturned({ service, holder, count: returned });
    }
  }

  function countLendable(
    account: RetryLedger,
    { service, needed, spare }: Wanted,
  ): number {
    const allowed = account.getAllowed(service);
    const used = account.getUsed(service);
    const forNeed = Math.min(needed, Math.max(0, Math.floor(allowed - used)));
    const spareLeft = Math.floor(SPARE_SHARE * allowed - used - forNeed);
    return forNeed + Math.min(spare, Math.max(0, spareLeft));
  }

  async function lend(holder: string, wanted: Wanted): Promise<number> {
    const { service } = wanted;
    for (let raises = 0;; raises++) {
      if (!ledger || !options.hasLease()) return 0;
      const used = ledger.getUsed(service);
      const lendable = countLendable(ledger, wanted);
      const underCeiling = Math.floor(getCeiling(service) - used);
      if (lendable <= underCeiling || raises === MAX_RAISES) {
        const count = Math.max(0, Math.min(lendable, underCeiling));
        if (count > 0) ledger.noteLent({ service, holder, count });
        return count;
      }
      await requestCeiling(service, used + lendable + step);
    }
  }

  function logLoan(
    holder: string,
    { service, needed }: Wanted,
    count: number,
  ): void {
    if (needed === 0) return;
    log("retriesLent", {
      holder,
      service,
      needed,
      count,
      allowed: Math.round(ledger?.getAllowed(service) ?? 0),
      used: ledger?.getUsed(service),
      ceiling: getCeiling(service),
    });
  }

  return {
    async handleReports(holder, reports) {
      const account = ledger;
      if (!account) return {};
      const wanted: Wanted[] = [];
      for (const [service, report] of Object.entries(reports)) {
        takeReport(account, { service, holder, report });
        const { needed = 0, spare = 0 } = report;
        if (needed + spare > 0) wanted.push({ service, needed, spare });
      }
      const lent = await Promise.all(wanted.map(async (one) => {
        const count = await lend(holder, one);
        logLoan(holder, one, count);
        return [one.service, count] as const;
      }));
      return Object.fromEntries(lent);
    },
    beginTerm() {
      ledger = createRetryLedger(options);
      for (const [service, ceiling] of getCeilings()) {
        ledger.inherit(service, ceiling);
      }
    },
    endTerm() {
      ledger = undefined;
    },
    tick() {
      ledger?.tick();
      if (!ledger || proposing) return;
      for (const [service, ceiling] of getCeilings()) {
        const used = ledger.getUsed(service);
        if (ceiling <= used + 3 * step) continue;
        void requestCeiling(service, used === 0 ? 0 : used + step);
      }
    },
  };
}
