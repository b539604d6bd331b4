/**
 * The leader's part of the quarantine: records which upstreams crashed under which
 * requests, grants trial runs, and decides which requests are held back for how long.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import {
  CONVICTION_RETENTION_MS,
  type CrashCase,
  type CrashCases,
  type CrashReport,
  getHoldMs,
  HEARTBEATS_TO_REFUTE,
  isNewEvidence,
  isPartKey,
  JOINT_TRIAL_DELAY_MS,
  type JudgedReport,
  MAX_TRIAL_MS,
  needsTrial,
  SUSPICION_RETENTION_MS,
  TRIAL_SETTLE_MS,
} from "../quarantine/index.ts";
import { createTrialJudge } from "./create_trial_judge.ts";
import type { FleetCommand } from "./create_fleet_state_machine.ts";
import type { LeaderMessage, PublishedCase, TrialRequest } from "./messages.ts";

type CasesMessage = LeaderMessage & { type: "cases" };

/** Dependencies of {@link createQuarantineCoordinator}. */
export interface CreateQuarantineCoordinatorOptions {
  readonly getCases: () => CrashCases;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  /** Sends a message to all gateways. */
  readonly publish: (message: CasesMessage) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
}

/** A gateway's reports on suspected requests. */
export interface QuarantineReports {
  readonly crashes?: readonly CrashReport[];
  readonly proved?: readonly string[];
  readonly provedParts?: readonly CrashReport[];
  readonly partsRunBefore?: readonly string[];
  readonly trialsEnded?: readonly string[];
}

/** The leader's part of the quarantine. */
export interface QuarantineCoordinator {
  /** Handles a gateway's reports. */
  take(vm: string, reports: QuarantineReports): void;
  /**
   * Handles a heartbeat of an incarnation that was registered before: crashes of it that
   * were recorded before the last few heartbeats are withdrawn.
   */
  handleHeartbeat(engineId: string): void;
  /** Grants a trial run: returns the upstream where the request may start, if any. */
  grantTrial(vm: string, request: TrialRequest): string | undefined;
  /** All cases, for operators and for gateways that join. */
  list(): readonly PublishedCase[];
  /** Clears the case of a request. */
  lift(requestKey: string): Promise<void>;
  /** Called on every replica after each change of the cases. */
  handleChange(options: { readonly isLeader: boolean }): void;
  /** Clears expired cases; for the leader only. */
  tick(): void;
}

/** A trial run: a request that runs as the only suspect on its upstream. */
interface Trial {
  /** Its suspects: the request if it is one, then parts of its prompt. */
  readonly requestKeys: readonly string[];
  readonly vm: string;
  readonly engineId: string;
  readonly expiresMs: number;
}

/** Ms for which reports are batched into one log entry. */
const BATCH_MS = 3;

/**
 * Creates the coordinator. Times count from when this process first saw a change: a
 * replica that restarts holds convicted requests back for longer, never for less.
 *
 * @param options - The cases, how they are changed, where they are published.
 * @returns The coordinator.
 * @throws Nothing.
 * @example
 * const coordinator = createQuarantineCoordinator({ getCases, propose, publish, now, log });
 */
export function createQuarantineCoordinator(
  options: CreateQuarantineCoordinatorOptions,
): QuarantineCoordinator {
  const { getCases, propose, now, log } = options;
  const trials = new Map<string, Trial>();
  const trackedCases = new Map<
    string,
    { readonly crashCase: CrashCase; readonly changedMs: number }
  >();
  const trialJudge = createTrialJudge();
  // Crashes of trials that are not decided yet.
  const undecidedReports = new Map<string, CrashReport>();
  // Heartbeats since a crash was recorded, by upstream and by request.
  let heartbeatCounts = new Map<string, Map<string, number>>();
  let published: CrashCases = new Map();
  let pendingReports = new Map<string, JudgedReport>();
  let pendingClears = new Set<string>();
  let pendingProofs = new Map<string, CrashReport>();
  let batchTimer: ReturnType<typeof setTimeout> | undefined;

  function scheduleBatch(): void {
    batchTimer ??= setTimeout(() => {
      batchTimer = undefined;
      const requestKeys = [...pendingClears];
      const reports = [...pendingReports.values()];
      const proofs = [...pendingProofs.values()];
      pendingReports = new Map();
      pendingClears = new Set();
      pendingProofs = new Map();
      if (reports.length > 0) submit({ type: "crashes", reports });
      if (proofs.length > 0) submitProofs(proofs);
      if (requestKeys.length > 0) submit({ type: "casesCleared", requestKeys });
    }, BATCH_MS);
  }

  // A failed proposal needs no retry: gateways repeat reports that the published
  // cases don't reflect, and each further heartbeat withdraws a crash again.
  function submit(command: FleetCommand): void {
    propose(command).catch((error) => log("casesNotRecorded", { error }));
  }

  function submitProofs(reports: readonly CrashReport[]): void {
    const requestKeys = [...new Set(reports.map((one) => one.requestKey))];
    log("partsProved", { requestKeys });
    submit({ type: "crashesRefuted", reports });
  }

  function findTrial(engineId: string): Trial | undefined {
    return [...trials.values()].find((trial) => trial.engineId === engineId);
  }

  function removeEndedTrials(): void {
    for (const [key, trial] of trials) {
      if (now() >= trial.expiresMs || !getCases().has(key)) trials.delete(key);
    }
  }

  // A crash during a trial run counts against that request only, not against the
  // requests that ran on the upstream at the same time, nor against parts of their
  // prompts that need no trial themselves.
  function handleCrashReport(vm: string, report: CrashReport): void {
    const { requestKey, engineId } = report;
    const cases = getCases();
    if (isPartKey(requestKey)) trialJudge.notePartAtCrash(report);
    if (!isNewEvidence(cases, report)) return;
    const reportKey = formatReportKey(report);
    if (pendingReports.has(reportKey)) return;
    if (undecidedReports.has(reportKey)) return;
    const trial = findTrial(engineId);
    const isOfTrial = trial?.requestKeys.includes(requestKey) ?? false;
    const crashCase = cases.get(requestKey);
    const isRepeatedPart = isPartKey(requestKey) && crashCase !== undefined &&
      needsTrial(crashCase);
    if (trial && !isOfTrial && !isRepeatedPart) return;
    const ownTrial = isOfTrial && trial?.vm === vm ? trial : undefined;
    if (ownTrial && listOtherSuspects(ownTrial).length > 0) {
      return decideLater(report, ownTrial);
    }
    pendingReports.set(reportKey, { ...report, ...judge(report, ownTrial) });
  }

  function decideLater(report: CrashReport, trial: Trial): void {
    const reportKey = formatReportKey(report);
    undecidedReports.set(reportKey, report);
    setTimeout(() => {
      undecidedReports.delete(reportKey);
      pendingReports.set(reportKey, { ...report, ...judge(report, trial) });
      scheduleBatch();
    }, TRIAL_SETTLE_MS);
  }

  // Parts that are as much under suspicion as those on trial.
  function listOtherSuspects(trial: Trial): CrashCase[] {
    return [...getCases().values()].filter((one) =>
      isPartKey(one.requestKey) && needsTrial(one) && getHeldMs(one) === 0 &&
      !trial.requestKeys.includes(one.requestKey)
    );
  }

  function judge(
    report: CrashReport,
    trial: Trial | undefined,
  ): Pick<JudgedReport, "isTrial" | "alsoOnTrial"> {
    if (!trial) return { isTrial: false };
    return trialJudge.judge(report, {
      requestKeys: trial.requestKeys,
      otherSuspects: listOtherSuspects(trial),
      engineIds: getCases().get(report.requestKey)?.engineIds ?? [],
    });
  }

  function trackChanges(): void {
    const cases = getCases();
    for (const key of trackedCases.keys()) {
      if (cases.has(key)) continue;
      trackedCases.delete(key);
      trialJudge.forget(key);
    }
    for (const [key, crashCase] of cases) {
      if (trackedCases.get(key)?.crashCase !== crashCase) {
        trackedCases.set(key, { crashCase, changedMs: now() });
      }
    }
  }

  function trackHeartbeats(): void {
    const counts: typeof heartbeatCounts = new Map();
    for (const { requestKey, engineIds } of getCases().values()) {
      for (const engineId of engineIds) {
        const known = heartbeatCounts.get(engineId)?.get(requestKey) ?? 0;
        const byKey = counts.get(engineId) ?? new Map<string, number>();
        counts.set(engineId, byKey.set(requestKey, known));
      }
    }
    heartbeatCounts = counts;
  }

  function getAgeMs(requestKey: string): number {
    return now() - (trackedCases.get(requestKey)?.changedMs ?? now());
  }

  function getHoldOf({ requestKey, convictions }: CrashCase): number {
    return getHoldMs(convictions, { isPart: isPartKey(requestKey) });
  }

  function getHeldMs(crashCase: CrashCase): number {
    return Math.max(0, getHoldOf(crashCase) - getAgeMs(crashCase.requestKey));
  }

  function describe(crashCase: CrashCase): PublishedCase {
    const { requestKey, engineIds, heldWith } = crashCase;
    const heldMs = Math.round(getHeldMs(crashCase));
    return { requestKey, engineIds, heldMs, ...(heldWith && { heldWith }) };
  }

  function list(): PublishedCase[] {
    trackChanges();
    return [...getCases().values()].map(describe);
  }

  function publishChanges(): void {
    const cases = getCases();
    const changed = [...cases.values()]
      .filter((one) => published.get(one.requestKey) !== one);
    const cleared = [...published.keys()].filter((key) => !cases.has(key));
    changed.filter(isNewConviction).forEach(logConviction);
    published = cases;
    if (changed.length + cleared.length === 0) return;
    const describedCases = changed.map(describe);
    options.publish({
      type: "cases",
      cases: describedCases,
      cleared,
    });
  }

  function isNewConviction({ requestKey, convictions }: CrashCase): boolean {
    return convictions > (published.get(requestKey)?.convictions ?? 0);
  }

  function logConviction(crashCase: CrashCase): void {
    const heldMs = Math.round(getHeldMs(crashCase));
    log("requestConvicted", { ...crashCase, heldMs });
  }

  function isOld(crashCase: CrashCase): boolean {
    const ageMs = getAgeMs(crashCase.requestKey);
    return crashCase.convictions === 0
      ? ageMs > SUSPICION_RETENTION_MS
      : ageMs > getHoldOf(crashCase) + CONVICTION_RETENTION_MS;
  }

  function mayBeTried(keys: readonly string[]): boolean {
    const cases = keys.map((key) => getCases().get(key));
    const isReady = cases.every((one) =>
      one && needsTrial(one) && !isHeld(one, keys)
    );
    if (!isReady) return false;
    if (keys.length > 1) return !keys.some(hasChangedRecently);
    return isPartKey(keys[0]) || !isPartTrialDue();
  }

  function isHeld(crashCase: CrashCase, keys: readonly string[]): boolean {
    const { heldWith = [] } = crashCase;
    return getHeldMs(crashCase) > 0 &&
      heldWith.every((key) => keys.includes(key));
  }

  function hasChangedRecently(key: string): boolean {
    return getAgeMs(key) < JOINT_TRIAL_DELAY_MS;
  }

  // The conviction of a part clears the requests that ran beside it, so they leave the
  // upstreams to its trial for a while.
  function isPartTrialDue(): boolean {
    return [...getCases().values()].some((one) =>
      isPartKey(one.requestKey) && needsTrial(one) && getHeldMs(one) === 0 &&
      hasChangedRecently(one.requestKey)
    );
  }

  return {
    take(vm, reports) {
      const { crashes = [], proved = [], provedParts = [] } = reports;
      const { trialsEnded = [], partsRunBefore: ranBefore = [] } = reports;
      for (const key of ranBefore) {
        if (getCases().has(key)) trialJudge.noteRunBefore(key);
      }
      removeEndedTrials();
      // Crash reports first: a crash must still be matched with its trial run before
      // the end of the trial is handled.
      for (const report of crashes) handleCrashReport(vm, report);
      for (const key of trialsEnded) {
        if (trials.get(key)?.vm === vm) trials.delete(key);
      }
      for (const key of proved) if (getCases().has(key)) pendingClears.add(key);
      for (const report of provedParts) {
        const { requestKey, engineId } = report;
        const crashCase = getCases().get(requestKey);
        if (!crashCase?.engineIds.includes(engineId)) continue;
        pendingProofs.set(formatReportKey(report), report);
      }
      const pendingCount = pendingReports.size + pendingClears.size +
        pendingProofs.size;
      if (pendingCount > 0) scheduleBatch();
    },
    grantTrial(vm, { requestKey, engineIds, alsoSuspect = [] }) {
      removeEndedTrials();
      const requestKeys = [requestKey, ...alsoSuspect];
      const running = trials.get(requestKey);
      if (running && running.vm !== vm) return undefined;
      const isTriedElsewhere = [...trials.values()].some((trial) =>
        trial !== running &&
        trial.requestKeys.some((key) => requestKeys.includes(key))
      );
      const isUndecided = [...undecidedReports.values()].some((report) =>
        requestKeys.includes(report.requestKey)
      );
      if (isTriedElsewhere || isUndecided) return undefined;
      if (!mayBeTried(requestKeys)) return undefined;
      // A repeated request gets the same upstream, or another one if that has departed.
      const isSame = running && engineIds.includes(running.engineId);
      if (isSame) return running.engineId;
      trials.delete(requestKey);
      const engineId = engineIds.find((id) => !findTrial(id));
      if (engineId === undefined) return undefined;
      const expiresMs = now() + MAX_TRIAL_MS;
      trials.set(requestKey, { requestKeys, vm, engineId, expiresMs });
      log("trialGranted", { requestKey, alsoSuspect, vm, engineId });
      return engineId;
    },
    handleHeartbeat(engineId) {
      const byKey = heartbeatCounts.get(engineId);
      if (!byKey) return;
      for (const [key, count] of byKey) byKey.set(key, count + 1);
      const requestKeys = [...byKey]
        .filter(([, count]) => count >= HEARTBEATS_TO_REFUTE)
        .map(([key]) => key);
      if (requestKeys.length === 0) return;
      log("crashesRefuted", { engineId, requestKeys });
      submit({
        type: "crashesRefuted",
        reports: requestKeys.map((requestKey) => ({ requestKey, engineId })),
      });
    },
    list,
    async lift(requestKey) {
      await propose({ type: "casesCleared", requestKeys: [requestKey] });
      log("casesCleared", { requestKeys: [requestKey], reason: "lifted" });
    },
    handleChange({ isLeader }) {
      trackChanges();
      trackHeartbeats();
      if (isLeader) publishChanges();
    },
    tick() {
      trackChanges();
      const old = [...getCases().values()].filter(isOld);
      if (old.length === 0) return;
      const requestKeys = old.map((one) => one.requestKey);
      log("casesCleared", { requestKeys, reason: "old" });
      submit({ type: "casesCleared", requestKeys });
    },
  };
}

function formatReportKey({ requestKey, engineId }: CrashReport): string {
  return `${requestKey} ${engineId}`;
}
