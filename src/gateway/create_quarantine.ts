/**
 * The gateway's side of the quarantine: tracks which requests crashed upstreams, at
 * this gateway and at others, and decides whether a request may run.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";
import type {
  LeaderMessage,
  PublishedCase,
  TrialRequest,
} from "../fleet/index.ts";
import {
  type CrashReport,
  MAX_TRIAL_MS,
  needsTrial,
  TRIAL_START_MS,
} from "../quarantine/index.ts";

/** Whether a request may run. */
export type QuarantineVerdict =
  | { readonly type: "free" }
  /** It may run once the leader has granted a trial. */
  | { readonly type: "trial" }
  /** It is held back, and may be retried after this many ms. */
  | { readonly type: "held"; readonly leftMs: number };

/** What the next heartbeat reports to the leader; empty fields are absent. */
export interface QuarantineUpdate {
  readonly crashes?: readonly CrashReport[];
  readonly proved?: readonly string[];
  readonly trialsEnded?: readonly string[];
  readonly trialsWanted?: readonly TrialRequest[];
}

/** The gateway's side of the quarantine. */
export interface Quarantine {
  judge(requestKey: string): QuarantineVerdict;
  /** Whether an upstream crashed while it ran a request that is not proved harmless. */
  isSuspect(requestKey: string): boolean;
  /** Records that an upstream crashed just after it had begun a request. */
  noteCrash(report: CrashReport): void;
  /** Resolves once all gateways know of the crashes, or after a short timeout. */
  waitUntilReported(requestKey: string): Promise<void>;
  /** Records that an upstream ran a request without a crash. */
  noteProved(requestKey: string): void;
  /**
   * Returns the upstream where a request may begin its trial, once one is granted.
   * Until then the leader is asked for a trial on one of the given upstreams.
   */
  takeTrial(request: TrialRequest): string | undefined;
  /** Ends a trial: another attempt of the request may get the next one. */
  endTrial(requestKey: string): void;
  /** Records where a suspected request was sent. */
  noteSent(send: CrashReport): void;
  /** Upstreams where another suspected request of this gateway began recently. */
  listWithRecentSuspects(requestKey: string): readonly string[];
  /** Replaces all cases by those of a newly connected leader. */
  replaceCases(cases: readonly PublishedCase[]): void;
  /** Applies changes of cases. */
  applyCases(message: LeaderMessage & { type: "cases" }): void;
  addTrialGrant(message: LeaderMessage & { type: "trial" }): void;
  collectUpdate(): QuarantineUpdate;
  /** Number of suspected requests, and of those that are held back. */
  count(): { readonly suspects: number; readonly held: number };
}

/** What the quarantine needs from its gateway. */
export interface CreateQuarantineOptions {
  /** Called when an update has to be sent to the leader at once. */
  readonly onUpdateDue: () => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Time, in ms, for which a crash report counts and is sent until the leader lists it. */
const REPORT_TTL_MS = 30_000;

/** Most crash reports kept; the oldest are dropped first. */
const MAX_REPORTS = 500;

/**
 * Longest time, in ms, that a request waits after a crash until all gateways know of
 * it: two round trips and two disk syncs, with some margin.
 */
const MAX_REPORT_WAIT_MS = 150;

/** Interval, in ms, between checks whether all gateways know. */
const REPORT_POLL_MS = 5;

/**
 * Time, in ms, for which a run without a crash clears a request, later copies
 * included. If many callers send the same request at once, some copies are lost in
 * crashes that the request did not cause.
 */
const PROOF_TTL_MS = 30_000;

/** Most cleared requests kept; the oldest are dropped first. */
const MAX_PROOFS = 2_000;

/** Time, in ms, for which a trial request is sent to the leader. */
const TRIAL_REQUEST_TTL_MS = 300;

/** Shortest time, in ms, between two suspected requests on the same upstream. */
const SUSPECT_SPACING_MS = 500;

interface KnownCase {
  readonly engineIds: ReadonlySet<string>;
  readonly heldUntilMs: number;
}

/**
 * Creates the quarantine, without any suspects.
 *
 * @param options - The notification of the leader, and the clock.
 * @returns The quarantine.
 * @throws Nothing.
 * @example
 * const verdict = quarantine.judge(call.requestKey);
 */
export function createQuarantine(
  options: CreateQuarantineOptions,
): Quarantine {
  const { onUpdateDue: notifyLeader, now } = options;
  let knownCases = new Map<string, KnownCase>();
  let reports: (CrashReport & { readonly atMs: number })[] = [];
  const proofs = new Map<string, number>();
  const trialRequests = new Map<
    string,
    TrialRequest & { readonly atMs: number }
  >();
  const grants = new Map<string, { engineId: string; untilMs: number }>();
  // Concurrent attempts of one request each ask for a trial; only one gets it.
  const onTrialUntilMs = new Map<string, number>();
  let trialsEnded = new Set<string>();
  let recentSends: (CrashReport & { readonly atMs: number })[] = [];

  function readCase({ engineIds, heldMs }: PublishedCase): KnownCase {
    return {
      engineIds: new Set(engineIds),
      heldUntilMs: heldMs === 0 ? -Infinity : now() + heldMs,
    };
  }

  function listCrashedUpstreams(requestKey: string): string[] {
    const own = reports.filter((one) => one.requestKey === requestKey)
      .map(({ engineId }) => engineId);
    const all = [...knownCases.get(requestKey)?.engineIds ?? [], ...own];
    return [...new Set(all)];
  }

  function isProved(requestKey: string): boolean {
    return now() - (proofs.get(requestKey) ?? -Infinity) < PROOF_TTL_MS;
  }

  function isListed({ requestKey, engineId }: CrashReport): boolean {
    return knownCases.get(requestKey)?.engineIds.has(engineId) ?? false;
  }

  // A crash for which a request was convicted does not count against other requests.
  function isExplained({ engineId }: CrashReport): boolean {
    return [...knownCases.values()].some((one) =>
      one.heldUntilMs > now() && one.engineIds.has(engineId)
    );
  }

  function listUnlisted(): typeof reports {
    reports = reports.filter((one) =>
      now() - one.atMs < REPORT_TTL_MS && !isListed(one) && !isExplained(one)
    );
    return reports;
  }

  function isOnTrial(requestKey: string): boolean {
    return now() < (onTrialUntilMs.get(requestKey) ?? -Infinity);
  }

  // The caller that asked for the trial may have left: its upstream is free for others.
  function releaseTrial(requestKey: string): void {
    grants.delete(requestKey);
    trialsEnded.add(requestKey);
  }

  function dropExpiredRequests(): void {
    for (const [key, { atMs }] of trialRequests) {
      if (now() - atMs >= TRIAL_REQUEST_TTL_MS) trialRequests.delete(key);
    }
    [...grants.keys()].filter((key) => !trialRequests.has(key)).forEach(
      releaseTrial,
    );
  }

  function listTrialRequests(): TrialRequest[] {
    dropExpiredRequests();
    return [...trialRequests.values()]
      .map(({ requestKey, engineIds }) => ({ requestKey, engineIds }));
  }

  function applyChange(
    { cases, cleared }: Pick<
      LeaderMessage & { type: "cases" },
      "cases" | "cleared"
    >,
  ): void {
    for (const one of cases) knownCases.set(one.requestKey, readCase(one));
    for (const key of cleared) knownCases.delete(key);
    reports = reports.filter((one) => !cleared.includes(one.requestKey));
    // The leader learns at once that a request suspected elsewhere is harmless.
    if (cases.some((one) => isProved(one.requestKey))) notifyLeader();
  }

  return {
    judge(requestKey) {
      if (isProved(requestKey)) return { type: "free" };
      const leftMs = (knownCases.get(requestKey)?.heldUntilMs ?? 0) - now();
      if (leftMs > 0) return { type: "held", leftMs };
      const engineIds = listCrashedUpstreams(requestKey);
      return { type: needsTrial({ engineIds }) ? "trial" : "free" };
    },
    isSuspect: (requestKey) =>
      !isProved(requestKey) && listCrashedUpstreams(requestKey).length > 0,
    noteCrash({ requestKey, engineId }) {
      if (isProved(requestKey)) return;
      const isKnown = listCrashedUpstreams(requestKey).includes(engineId);
      if (isKnown) return;
      reports = [...listUnlisted(), { requestKey, engineId, atMs: now() }]
        .slice(-MAX_REPORTS);
      notifyLeader();
    },
    async waitUntilReported(requestKey) {
      const untilMs = now() + MAX_REPORT_WAIT_MS;
      const isPending = () =>
        listUnlisted().some((one) => one.requestKey === requestKey);
      while (isPending() && now() < untilMs) {
        await new Promise((resolve) => setTimeout(resolve, REPORT_POLL_MS));
      }
    },
    noteProved(requestKey) {
      proofs.delete(requestKey);
      proofs.set(requestKey, now());
      evictOldest(proofs, MAX_PROOFS);
      reports = reports.filter((one) => one.requestKey !== requestKey);
      if (knownCases.has(requestKey)) notifyLeader();
    },
    takeTrial(request) {
      const { requestKey } = request;
      if (isOnTrial(requestKey)) return undefined;
      const grant = grants.get(requestKey);
      grants.delete(requestKey);
      if (grant && now() < grant.untilMs) {
        trialRequests.delete(requestKey);
        onTrialUntilMs.set(requestKey, now() + MAX_TRIAL_MS);
        return grant.engineId;
      }
      const isNew = !trialRequests.has(requestKey);
      trialRequests.set(requestKey, { ...request, atMs: now() });
      if (isNew) notifyLeader();
      return undefined;
    },
    endTrial(requestKey) {
      onTrialUntilMs.delete(requestKey);
      trialsEnded.add(requestKey);
      notifyLeader();
    },
    noteSent({ requestKey, engineId }) {
      const fresh = recentSends.filter(({ atMs }) =>
        now() - atMs < SUSPECT_SPACING_MS
      );
      recentSends = [...fresh, { requestKey, engineId, atMs: now() }];
    },
    listWithRecentSuspects: (requestKey) =>
      recentSends
        .filter((one) =>
          one.requestKey !== requestKey && now() - one.atMs < SUSPECT_SPACING_MS
        )
        .map(({ engineId }) => engineId),
    replaceCases(cases) {
      knownCases = new Map();
      applyChange({ cases, cleared: [] });
    },
    applyCases: applyChange,
    addTrialGrant({ requestKey, engineId, askedMs }) {
      // A trial request may be sent twice, and granted twice.
      if (isOnTrial(requestKey)) return;
      grants.set(requestKey, { engineId, untilMs: askedMs + TRIAL_START_MS });
      dropExpiredRequests();
      if (trialsEnded.has(requestKey)) notifyLeader();
    },
    collectUpdate() {
      const crashes = listUnlisted()
        .map(({ requestKey, engineId }) => ({ requestKey, engineId }));
      const proved = [...knownCases.keys()].filter(isProved);
      const trialsWanted = listTrialRequests();
      const ended = [...trialsEnded];
      trialsEnded = new Set();
      return {
        ...(crashes.length > 0 ? { crashes } : {}),
        ...(proved.length > 0 ? { proved } : {}),
        ...(ended.length > 0 ? { trialsEnded: ended } : {}),
        ...(trialsWanted.length > 0 ? { trialsWanted } : {}),
      };
    },
    count() {
      const held = [...knownCases.values()].filter((one) =>
        one.heldUntilMs > now()
      );
      return { suspects: knownCases.size, held: held.length };
    },
  };
}
