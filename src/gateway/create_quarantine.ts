/**
 * The gateway's side of the quarantine: tracks which requests, and which parts of their
 * prompts, crashed upstreams, at this gateway and at others, and decides whether a
 * request may run.
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
  isPartKey,
  MAX_TRIAL_MS,
  needsTrial,
  TRIAL_START_MS,
} from "../quarantine/index.ts";

/** The keys of a call by which the quarantine knows it. */
export interface QuarantineSubject {
  readonly requestKey: string;
  /** Keys of the parts of its prompt that other requests may share. */
  readonly partKeys: readonly string[];
}

/** Whether a request may run. */
export type QuarantineVerdict =
  | { readonly type: "free" }
  /** It may run once the leader has granted a trial of these suspects. */
  | (
    & { readonly type: "trial" }
    & Pick<
      TrialRequest,
      "requestKey" | "alsoSuspect"
    >
  )
  /** It is held back because of this key, and may be retried after this many ms. */
  | {
    readonly type: "held";
    readonly leftMs: number;
    readonly suspectKey: string;
  };

/** What the next heartbeat reports to the leader; empty fields are absent. */
export interface QuarantineUpdate {
  readonly crashes?: readonly CrashReport[];
  readonly proved?: readonly string[];
  readonly provedParts?: readonly CrashReport[];
  readonly partsRunBefore?: readonly string[];
  readonly trialsEnded?: readonly string[];
  readonly trialsWanted?: readonly TrialRequest[];
}

/** The gateway's side of the quarantine. */
export interface Quarantine {
  judge(subject: QuarantineSubject): QuarantineVerdict;
  /** Calls the listener once the subject is held back; returns a function to stop. */
  onHeld(subject: QuarantineSubject, listener: () => void): () => void;
  /** Whether an upstream crashed while it ran a request that is not proved harmless. */
  isSuspect(subject: QuarantineSubject): boolean;
  /** Records that an upstream crashed just after it had begun a request. */
  noteCrash(report: CrashReport): void;
  /** Resolves once all gateways know of the crashes, or after a short timeout. */
  waitUntilReported(subject: QuarantineSubject): Promise<void>;
  /** Records that an upstream ran a request without a crash. */
  noteProved(requestKey: string): void;
  /**
   * Records that an upstream that began to answer a prompt with these parts at the
   * given time did not crash. Only crashes known before that time are refuted.
   */
  notePartsProved(partKeys: readonly string[], begunMs: number): void;
  /**
   * Returns the upstream where a request may begin its trial, once one is granted.
   * Until then the leader is asked for a trial on one of the given upstreams.
   */
  takeTrial(request: TrialRequest): string | undefined;
  /** Ends a trial: another attempt of the request may get the next one. */
  endTrial(requestKey: string): void;
  /**
   * Records where a request was sent; returns what to report if the upstream crashes
   * just after it has begun the request.
   */
  noteSent(
    subject: QuarantineSubject,
    engineId: string,
  ): readonly CrashReport[];
  /**
   * Upstreams where requests with other suspects than this one began recently at this
   * gateway.
   */
  listWithRecentSuspects(subject: QuarantineSubject): readonly string[];
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

/** Most parts of prompts kept that upstreams have run; the oldest are dropped first. */
const MAX_PARTS_RUN = 2_000;

/** Time, in ms, for which a trial request is sent to the leader. */
const TRIAL_REQUEST_TTL_MS = 300;

/** Shortest time, in ms, between two suspected requests on the same upstream. */
const SUSPECT_SPACING_MS = 500;

interface KnownCase {
  /** When this gateway learnt of each crash, in ms, by upstream. */
  readonly knownMs: ReadonlyMap<string, number>;
  readonly heldUntilMs: number;
  readonly heldWith: readonly string[];
}

/**
 * Creates the quarantine, without any suspects.
 *
 * @param options - The notification of the leader, and the clock.
 * @returns The quarantine.
 * @throws Nothing.
 * @example
 * const verdict = quarantine.judge(call);
 */
export function createQuarantine(
  options: CreateQuarantineOptions,
): Quarantine {
  const { onUpdateDue: notifyLeader, now } = options;
  let knownCases = new Map<string, KnownCase>();
  let reports: (CrashReport & { readonly atMs: number })[] = [];
  // Runs that were sent before the last crash of their part was known; sent once.
  let lateReports: CrashReport[] = [];
  const proofs = new Map<string, number>();
  // Latest time at which an upstream began to answer a suspected part and didn't crash.
  const partProofs = new Map<string, number>();
  const partsRun = new Map<string, true>();
  let partsRunBefore = new Set<string>();
  const heldListeners = new Map<() => void, QuarantineSubject>();
  const trialRequests = new Map<
    string,
    TrialRequest & { readonly atMs: number }
  >();
  const grants = new Map<string, { engineId: string; untilMs: number }>();
  // Concurrent attempts of one request each ask for a trial; only one gets it.
  const onTrialUntilMs = new Map<string, number>();
  let trialsEnded = new Set<string>();
  let recentSends: {
    readonly suspectKeys: readonly string[];
    readonly engineId: string;
    readonly atMs: number;
  }[] = [];

  function readCase(published: PublishedCase, known?: KnownCase): KnownCase {
    const { engineIds, heldMs, heldWith = [] } = published;
    return {
      knownMs: new Map(
        engineIds.map((id) => [id, known?.knownMs.get(id) ?? now()]),
      ),
      heldUntilMs: heldMs === 0 ? -Infinity : now() + heldMs,
      heldWith,
    };
  }

  function listCrashedUpstreams(key: string): string[] {
    const provedMs = partProofs.get(key) ?? -Infinity;
    const known = [...knownCases.get(key)?.knownMs ?? []]
      .filter(([, knownMs]) => knownMs > provedMs)
      .map(([engineId]) => engineId);
    const own = reports.filter((one) => one.requestKey === key)
      .map(({ engineId }) => engineId);
    return [...new Set([...known, ...own])];
  }

  function listKeys({ requestKey, partKeys }: QuarantineSubject): string[] {
    return [requestKey, ...partKeys];
  }

  function listSuspectKeys(subject: QuarantineSubject): string[] {
    if (knownCases.size + reports.length === 0) return [];
    return listKeys(subject).filter((key) =>
      !isProved(key) && listCrashedUpstreams(key).length > 0
    );
  }

  function getHeldLeftMs(key: string, subject: QuarantineSubject): number {
    const known = knownCases.get(key);
    if (!known || isProved(key)) return 0;
    const isHeld = known.heldWith.every((other) =>
      subject.partKeys.includes(other)
    );
    return isHeld ? Math.max(0, known.heldUntilMs - now()) : 0;
  }

  function judge(subject: QuarantineSubject): QuarantineVerdict {
    const suspectKeys = listSuspectKeys(subject);
    const [held] = suspectKeys
      .map((key) => ({
        suspectKey: key,
        leftMs: getHeldLeftMs(key, subject),
      }))
      .sort((a, b) => b.leftMs - a.leftMs);
    if (held && held.leftMs > 0) return { type: "held", ...held };
    const [requestKey, ...alsoSuspect] = suspectKeys.filter((key) =>
      needsTrial({ engineIds: listCrashedUpstreams(key) })
    );
    if (requestKey === undefined) return { type: "free" };
    return {
      type: "trial",
      requestKey,
      ...(alsoSuspect.length > 0 ? { alsoSuspect } : {}),
    };
  }

  function isProved(requestKey: string): boolean {
    return now() - (proofs.get(requestKey) ?? -Infinity) < PROOF_TTL_MS;
  }

  function isListed({ requestKey, engineId }: CrashReport): boolean {
    return knownCases.get(requestKey)?.knownMs.has(engineId) ?? false;
  }

  // The leader ignores runs of a part that were sent before its last crash was known.
  function isOutdated({ requestKey, knownCrashes }: CrashReport): boolean {
    const crashCount = knownCases.get(requestKey)?.knownMs.size ?? 0;
    return knownCrashes !== undefined && knownCrashes < crashCount;
  }

  // A crash for which a request was convicted does not count against other requests.
  function listExplainedUpstreams(): Set<string> {
    const held = [...knownCases.values()]
      .filter(({ heldUntilMs }) => heldUntilMs > now());
    return new Set(held.flatMap(({ knownMs }) => [...knownMs.keys()]));
  }

  function listUnlisted(): typeof reports {
    if (reports.length === 0) return reports;
    const explained = listExplainedUpstreams();
    reports = reports.filter((one) =>
      now() - one.atMs < REPORT_TTL_MS && !isListed(one) &&
      !isOutdated(one) && !explained.has(one.engineId)
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
      .map(({ atMs: _, ...request }) => request);
  }

  function applyChange(
    { cases, cleared }: Pick<
      LeaderMessage & { type: "cases" },
      "cases" | "cleared"
    >,
  ): void {
    for (const one of cases) {
      const known = knownCases.get(one.requestKey);
      knownCases.set(one.requestKey, readCase(one, known));
    }
    for (const key of cleared) {
      knownCases.delete(key);
      partProofs.delete(key);
      if (isPartKey(key)) onTrialUntilMs.delete(key);
    }
    reports = reports.filter((one) => !cleared.includes(one.requestKey));
    for (const { requestKey } of cases) {
      if (partsRun.has(requestKey)) partsRunBefore.add(requestKey);
    }
    if (cases.some(({ heldMs }) => heldMs > 0)) notifyHeld();
    // The leader learns at once that a request suspected elsewhere is harmless.
    if (cases.some((one) => isProved(one.requestKey))) notifyLeader();
  }

  function notifyHeld(): void {
    for (const [listener, subject] of [...heldListeners]) {
      if (judge(subject).type === "held") listener();
    }
  }

  function listRefutedReports(): CrashReport[] {
    return [...partProofs].flatMap(([requestKey, begunMs]) =>
      [...knownCases.get(requestKey)?.knownMs ?? []]
        .filter(([, knownMs]) => knownMs <= begunMs)
        .map(([engineId]) => ({ requestKey, engineId }))
    );
  }

  return {
    judge,
    onHeld(subject, listener) {
      heldListeners.set(listener, subject);
      return () => heldListeners.delete(listener);
    },
    isSuspect: (subject) => listSuspectKeys(subject).length > 0,
    noteCrash(report) {
      const { requestKey, engineId, knownCrashes = Infinity } = report;
      if (isProved(requestKey)) return;
      const crashed = listCrashedUpstreams(requestKey);
      if (crashed.includes(engineId)) return;
      notifyLeader();
      if (knownCrashes < crashed.length) {
        lateReports = [...lateReports, report].slice(-MAX_REPORTS);
        return;
      }
      reports = [...listUnlisted(), { ...report, atMs: now() }]
        .slice(-MAX_REPORTS);
    },
    async waitUntilReported(subject) {
      const untilMs = now() + MAX_REPORT_WAIT_MS;
      const keys = listKeys(subject);
      const isPending = () =>
        listUnlisted().some((one) => keys.includes(one.requestKey));
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
    notePartsProved(partKeys, begunMs) {
      for (const key of partKeys) {
        partsRun.delete(key);
        partsRun.set(key, true);
      }
      evictOldest(partsRun, MAX_PARTS_RUN);
      const isSuspected = (key: string) =>
        knownCases.has(key) || reports.some((one) => one.requestKey === key);
      for (const key of partKeys.filter(isSuspected)) {
        const provedMs = Math.max(partProofs.get(key) ?? 0, begunMs);
        partProofs.set(key, provedMs);
        evictOldest(partProofs, MAX_PROOFS);
        reports = reports.filter((one) =>
          one.requestKey !== key || one.atMs > provedMs
        );
      }
      const isNews = ({ requestKey }: CrashReport) =>
        partKeys.includes(requestKey);
      if (listRefutedReports().some(isNews)) notifyLeader();
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
    noteSent(subject, engineId) {
      const suspectKeys = listSuspectKeys(subject);
      if (suspectKeys.length > 0) {
        const fresh = recentSends.filter(({ atMs }) =>
          now() - atMs < SUSPECT_SPACING_MS
        );
        recentSends = [...fresh, { suspectKeys, engineId, atMs: now() }];
      }
      const { requestKey, partKeys } = subject;
      // A trial is evidence of its own, whatever becomes known while it runs.
      const isTrial = listKeys(subject).some(isOnTrial);
      const partReports = partKeys.map((key) => ({
        requestKey: key,
        engineId,
        ...(isTrial ? {} : { knownCrashes: listCrashedUpstreams(key).length }),
      }));
      return [{ requestKey, engineId }, ...partReports];
    },
    listWithRecentSuspects(subject) {
      const own = listSuspectKeys(subject);
      // Suspects that are all on an upstream already don't blur what a crash shows.
      const areApart = (others: readonly string[]) =>
        own.some((key) => !others.includes(key)) &&
        others.some((key) => !own.includes(key));
      return recentSends
        .filter(({ suspectKeys, atMs }) =>
          now() - atMs < SUSPECT_SPACING_MS && areApart(suspectKeys)
        )
        .map(({ engineId }) => engineId);
    },
    replaceCases(cases) {
      const keys = new Set(cases.map(({ requestKey }) => requestKey));
      // Crashes that are listed still were known before.
      knownCases = new Map([...knownCases].filter(([key]) => keys.has(key)));
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
      const unlisted = listUnlisted().map(({ atMs: _, ...report }) => report);
      const crashes = [...unlisted, ...lateReports];
      lateReports = [];
      const provedParts = listRefutedReports();
      const proved = [...knownCases.keys()].filter(isProved);
      const trialsWanted = listTrialRequests();
      const ended = [...trialsEnded];
      trialsEnded = new Set();
      const ranBefore = [...partsRunBefore];
      partsRunBefore = new Set();
      return {
        ...(crashes.length > 0 ? { crashes } : {}),
        ...(proved.length > 0 ? { proved } : {}),
        ...(provedParts.length > 0 ? { provedParts } : {}),
        ...(ranBefore.length > 0 ? { partsRunBefore: ranBefore } : {}),
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
