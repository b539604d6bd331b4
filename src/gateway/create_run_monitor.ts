/**
 * Monitors running streams. When the runs that share a first engine stop
 * producing events together, their engines are probed, and the runs leave the
 * engines that have failed.
 *
 * @module
 */

import type { EngineNotice } from "../engines/index.ts";
import { TimeLimitError, withTimeout } from "../http/index.ts";
import type { Logger } from "../logs/index.ts";
import { groupRuns, type RunGroup, SHARED_SILENCE_MS } from "./group_runs.ts";
import type {
  AddressedPart,
  EngineControl,
  EngineLiveness,
} from "./protocol.ts";

/** A run of a stream, as the monitor sees it. */
export interface MonitoredRun {
  /**
   * Whether the run uses several engines, which are probed when it is silent. For a
   * run on a single engine, `checkStall` is enough.
   */
  readonly isLayered: boolean;
  getPath(): readonly AddressedPart[];
  /** Whether an event has arrived. */
  hasBegun(): boolean;
  /** Ms since the newest event, or since the last attempt to recover the run. */
  getSilenceMs(): number;
  /** Usual pause between events, in ms; 0 before the first pause. */
  getUsualPauseMs(): number;
  /** Called on each poll while the run alone has been silent for too long. */
  checkStall(): void;
  /** Called on each poll, so that the run can move off engines that are leaving. */
  checkLeaving(): void;
  /**
   * Called when an engine of the path has failed. If that is not confirmed yet, the run
   * may stay on it where it has no other path.
   */
  leave(
    engineId: string,
    reason: string,
    options?: { readonly isConfirmed?: boolean },
  ): void;
}

/** An engine and the address at which it is probed. */
type EngineAddress = Pick<AddressedPart, "engineId" | "address">;

/** Options of {@link createRunMonitor}. */
export interface CreateRunMonitorOptions {
  readonly engineControl: Pick<EngineControl, "checkLiveness">;
  /** Called with the slowdown factor that an engine reports when it is probed. */
  readonly onPace: (engineId: string, pace: number) => void;
  /** Called with the status notice in an engine's answer. */
  readonly onNotice?: (engineId: string, notice: EngineNotice) => void;
  /** Whether an engine may be probed now; by default, any may. */
  readonly mayProbe?: (engineId: string) => boolean;
  /**
   * Whether an engine that does not answer has failed, rather than this gateway's path
   * to all engines; by default, it has.
   */
  readonly confirmFailure?: (engineId: string) => Promise<boolean>;
  /** Called when an engine is found to have failed. */
  readonly onEngineFailed: (engineId: string, reason: string) => void;
  /** Called when an engine has answered a probe. */
  readonly onEngineAnswered?: (engineId: string) => void;
  /**
   * Zero-based rank of this gateway among those of its data centre in probing for
   * the streams that start at an engine; 0 by default.
   */
  readonly getProbeRank?: (firstEngineId: string) => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Receives the probes that got no answer in time; discarded by default. */
  readonly log?: Logger;
}

/** Monitors running streams for failed engines. */
export interface RunMonitor {
  /** Monitors a run until the returned function is called. */
  add(run: MonitoredRun): () => void;
  /** Handles engines that other gateways found failed: silent runs leave them. */
  handleFailureReport(engineIds: readonly string[]): void;
  /**
   * Probes an engine that another engine named as faulty. If it does not answer, it
   * has failed: an engine that is merely full or leaving does answer.
   */
  checkEngine(engine: EngineAddress): void;
}

/** Reason for which a run leaves an engine whose machine refuses connections. */
export const REFUSES_CONNECTIONS = "refuses connections";

/** Silence, in ms, after which a single run checks for a stall by itself. */
const STALL_CHECK_SILENCE_MS = 300;

/** Longest interval, in ms, between two polls. */
const MAX_POLL_INTERVAL_MS = 100;

/** Shortest interval, in ms, between two polls. */
const MIN_POLL_INTERVAL_MS = 10;

/**
 * Time-out, in ms, of a probe: a round trip takes a few ms, and a busy engine needs
 * some more.
 */
const PROBE_TIMEOUT_MS = 25;

/**
 * Time-out, in ms, of the probe that confirms a silence. Until it ends, runs without
 * another path stay on the engine: they would gain nothing by leaving it.
 */
const CONFIRMATION_TIMEOUT_MS = 100;

/** Reason for which a run leaves an engine that doesn't answer probes. */
const DOES_NOT_ANSWER = "does not answer";

/** Time, in ms, for which a late answer to a probe is awaited for the log. */
const LATE_ANSWER_MS = 250;

/**
 * Upper bound of the factor on the silence that triggers a probe. Each probe doubles
 * the factor: when engines are busy, silence is a weak sign and probes add load.
 */
const MAX_THRESHOLD_FACTOR = 32;

/** Half-life, in ms, of that factor. */
const THRESHOLD_FACTOR_HALF_LIFE_MS = 2_000;

/** Ms for which a probe is valid: until then the engine is not probed again. */
const PROBE_TTL_MS = 250;

/**
 * Gateways of a data centre that probe as soon as runs are silent. The others receive
 * what these find, and probe only after a delay: otherwise all 21 gateways of a data
 * centre would probe one silent engine.
 */
const FIRST_PROBERS = 3;

/** Additional delay, in ms, for each further set of as many gateways. */
const PROBE_DELAY_STEP_MS = 40;

/** Longest delay, in ms, of a probe: callers tolerate pauses of 200 ms and more. */
const MAX_PROBE_DELAY_MS = 160;

/** Ms for which a report that an engine has failed stays valid. */
const FAILURE_REPORT_TTL_MS = 1_000;

/**
 * Delay of a timer, in ms, above which this process itself was stalled, so that
 * silence from engines proves nothing.
 */
const PROCESS_STALL_MS = 30;

/**
 * Creates a run monitor. Its timer runs only while runs are monitored.
 *
 * @param options - How engines are probed, and callbacks for failed engines.
 * @returns The monitor.
 * @throws Nothing.
 * @example
 * const monitor = createRunMonitor({ engineControl, onPace, onEngineFailed, now });
 */
export function createRunMonitor(options: CreateRunMonitorOptions): RunMonitor {
  const { engineControl, now, getProbeRank: getRank = () => 0 } = options;
  const { onNotice = () => {}, mayProbe: canProbe = () => true } = options;
  const { onEngineAnswered = () => {} } = options;
  const { confirmFailure = () => Promise.resolve(true), log = () => {} } =
    options;
  const runs = new Set<MonitoredRun>();
  const probedAtMs = new Map<string, number>();
  const failedAtMs = new Map<string, number>();
  const leftEnginesByRun = new WeakMap<MonitoredRun, Set<string>>();
  const thresholdFactors = new Map<
    string,
    { factor: number; sinceMs: number }
  >();
  let timer: ReturnType<typeof setTimeout> | undefined;
  let dueMs = 0;
  let silenceValidFromMs = 0;

  function schedulePoll(delayMs: number): void {
    dueMs = now() + delayMs;
    timer = setTimeout(poll, delayMs);
  }

  function poll(): void {
    timer = undefined;
    if (runs.size === 0) return;
    if (now() - dueMs > PROCESS_STALL_MS) silenceValidFromMs = now();
    for (const run of [...runs]) {
      run.checkLeaving();
      if (run.getSilenceMs() >= STALL_CHECK_SILENCE_MS) run.checkStall();
    }
    const groups = listGroups();
    const affected = groups.filter(usesFailedEngine);
    affected.forEach(leaveFailedEngines);
    groups.filter((group) => isSilent(group) && !affected.includes(group))
      .forEach(probeGroup);
    const waits = groups.map((group) => group.limitMs - group.silenceMs)
      .filter((waitMs) => waitMs > 0);
    schedulePoll(
      Math.max(MIN_POLL_INTERVAL_MS, Math.min(MAX_POLL_INTERVAL_MS, ...waits)),
    );
  }

  function listGroups() {
    const layeredRuns = [...runs].filter((run) => run.isLayered);
    return groupRuns(layeredRuns.map((run) => ({
      run,
      firstEngineId: run.getPath()[0].engineId,
      hasBegun: run.hasBegun(),
      usualPauseMs: run.getUsualPauseMs(),
      silenceMs: Math.min(run.getSilenceMs(), now() - silenceValidFromMs),
    })));
  }

  function getThresholdFactor(firstEngineId: string): number {
    const threshold = thresholdFactors.get(firstEngineId);
    if (!threshold) return 1;
    const ageMs = now() - threshold.sinceMs;
    return Math.max(
      1,
      threshold.factor * 2 ** (-ageMs / THRESHOLD_FACTOR_HALF_LIFE_MS),
    );
  }

  type Group = RunGroup<ReturnType<typeof listGroups>[number]["runs"][number]>;

  function isSilent({ silenceMs, limitMs, firstEngineId }: Group): boolean {
    const probeAfterMs = limitMs * getThresholdFactor(firstEngineId);
    if (silenceMs < probeAfterMs) return false;
    return silenceMs >= probeAfterMs + getProbeDelayMs(firstEngineId);
  }

  function getProbeDelayMs(firstEngineId: string): number {
    const precedingSets = Math.floor(
      getRank(firstEngineId) / FIRST_PROBERS,
    );
    return Math.min(MAX_PROBE_DELAY_MS, precedingSets * PROBE_DELAY_STEP_MS);
  }

  // A report replaces the probe, but the runs must have been silent all the same.
  function usesFailedEngine(
    { silenceMs, limitMs, runs: members }: Group,
  ): boolean {
    if (silenceMs < limitMs) return false;
    return members.some(({ run }) =>
      run.getPath().some(({ engineId }) => isKnownFailed(engineId))
    );
  }

  function leaveFailedEngines(group: Group): void {
    for (const { run } of group.runs) {
      const failedPart = run.getPath().find(({ engineId }) =>
        isKnownFailed(engineId)
      );
      if (failedPart) leaveEngineOnce(run, failedPart.engineId);
    }
  }

  // Leaving an engine is asynchronous, and the run may be polled again meanwhile.
  function leaveEngineOnce(run: MonitoredRun, engineId: string): void {
    const left = leftEnginesByRun.get(run) ?? new Set<string>();
    if (left.has(engineId)) return;
    leftEnginesByRun.set(run, left.add(engineId));
    run.leave(engineId, "reported as failed");
  }

  function isKnownFailed(engineId: string): boolean {
    return now() - (failedAtMs.get(engineId) ?? -Infinity) <
      FAILURE_REPORT_TTL_MS;
  }

  function raiseThreshold(firstEngineId: string): void {
    const factor = Math.min(
      MAX_THRESHOLD_FACTOR,
      2 * getThresholdFactor(firstEngineId),
    );
    thresholdFactors.set(firstEngineId, { factor, sinceMs: now() });
  }

  function probeGroup(group: Group): void {
    const aliveEngineIds = listAlive();
    const parts = group.runs.flatMap(({ run }) => run.getPath())
      .filter(({ engineId }) => !aliveEngineIds.has(engineId));
    const engines = new Map(parts.map((part) => [part.engineId, part]));
    const { firstEngineId } = group;
    raiseThreshold(firstEngineId);
    const isStillSilent = () =>
      listGroups().some((current) =>
        current.firstEngineId === firstEngineId &&
        current.silenceMs >= current.limitMs
      );
    for (const part of engines.values()) void probe(part, { isStillSilent });
  }

  // Engines on the path of a run that has just received an event.
  function listAlive(): ReadonlySet<string> {
    const activeRuns = [...runs].filter((run) =>
      run.hasBegun() && run.getSilenceMs() < SHARED_SILENCE_MS
    );
    const parts = activeRuns.flatMap((run) => run.getPath());
    return new Set(parts.map(({ engineId }) => engineId));
  }

  // An engine that refuses connections has failed. One that does not answer may only
  // be slow: it counts as failed only if its runs are still silent too.
  async function probe(
    engine: EngineAddress,
    { isStillSilent }: { isStillSilent: () => boolean },
  ): Promise<void> {
    const { engineId } = engine;
    const state = await probePresence(engine);
    if (state !== "absent" && state !== "silent") return;
    if (!await confirmFailure(engineId)) return;
    if (state === "absent") return markFailed(engineId, REFUSES_CONNECTIONS);
    if (!isStillSilent()) return;
    markFailed(engineId, DOES_NOT_ANSWER, { isConfirmed: false });
    await confirmSilence(engine, { isStillSilent });
  }

  // One late answer is weak evidence: the engine may have been busy for a moment, or a
  // packet was lost.
  async function confirmSilence(
    engine: EngineAddress,
    { isStillSilent }: { isStillSilent: () => boolean },
  ): Promise<void> {
    const { engineId } = engine;
    if (!canProbe(engineId)) return;
    probedAtMs.set(engineId, now());
    const timeoutMs = CONFIRMATION_TIMEOUT_MS;
    const state = await sendProbe(engine, { timeoutMs });
    if (state === "absent") leaveEngine(engineId, REFUSES_CONNECTIONS);
    else if (state === "silent" && isStillSilent()) {
      leaveEngine(engineId, DOES_NOT_ANSWER);
    }
  }

  // Returns undefined if the engine was probed a moment ago or may not be probed, or
  // if this process was stalled while it waited for the answer.
  async function probePresence(
    engine: EngineAddress,
  ): Promise<EngineLiveness["state"] | undefined> {
    const { engineId } = engine;
    if (now() - (probedAtMs.get(engineId) ?? -Infinity) < PROBE_TTL_MS) return;
    if (!canProbe(engineId)) return;
    probedAtMs.set(engineId, now());
    return await sendProbe(engine, { timeoutMs: PROBE_TIMEOUT_MS });
  }

  async function sendProbe(
    { engineId, address }: EngineAddress,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<EngineLiveness["state"] | undefined> {
    const sentMs = now();
    const answer = engineControl.checkLiveness(address, {
      timeoutMs: LATE_ANSWER_MS,
      onNotice: (notice) => onNotice(engineId, notice),
    });
    void answer.then(({ state }) => {
      if (state === "present") onEngineAnswered(engineId);
    });
    const presence = await waitForAnswer(answer, timeoutMs);
    if (presence.state === "present") options.onPace(engineId, presence.pace);
    if (presence.state !== "silent") return presence.state;
    const stalledMs = now() - sentMs - timeoutMs;
    void logUnanswered(engineId, { answer, sentMs, stalledMs });
    return stalledMs > PROCESS_STALL_MS ? undefined : "silent";
  }

  async function waitForAnswer(
    answer: Promise<EngineLiveness>,
    timeoutMs: number,
  ): Promise<EngineLiveness> {
    try {
      return await withTimeout(answer, { timeoutMs });
    } catch (error) {
      if (!(error instanceof TimeLimitError)) throw error;
      return { state: "silent" };
    }
  }

  // A late answer shows that the engine was only slow, or this process was.
  async function logUnanswered(
    engineId: string,
    probe: {
      readonly answer: Promise<EngineLiveness>;
      readonly sentMs: number;
      readonly stalledMs: number;
    },
  ): Promise<void> {
    const { state } = await probe.answer;
    log("probeUnanswered", {
      engineId,
      lateState: state,
      tookMs: Math.round(now() - probe.sentMs),
      stalledMs: Math.round(probe.stalledMs),
    });
  }

  // The engine may be well and only its answer lost, so streams that still receive
  // events stay on it; they leave once they are silent.
  async function probeNamedEngine(engine: EngineAddress): Promise<void> {
    const { engineId } = engine;
    const state = await probePresence(engine);
    if (state !== "absent" && state !== "silent") return;
    if (!await confirmFailure(engineId)) return;
    if (state === "absent") return markFailed(engineId, REFUSES_CONNECTIONS);
    failedAtMs.set(engineId, now());
    options.onEngineFailed(
      engineId,
      "named as faulty by another engine and does not answer",
    );
  }

  function markFailed(
    engineId: string,
    reason: string,
    leaveOptions?: { readonly isConfirmed: boolean },
  ): void {
    options.onEngineFailed(engineId, reason);
    leaveEngine(engineId, reason, leaveOptions);
  }

  function leaveEngine(
    engineId: string,
    reason: string,
    leaveOptions?: { readonly isConfirmed: boolean },
  ): void {
    for (const run of [...runs]) {
      const isAffected = run.getPath().some((part) =>
        part.engineId === engineId
      );
      if (isAffected) run.leave(engineId, reason, leaveOptions);
    }
  }

  return {
    add(run) {
      runs.add(run);
      if (!timer) schedulePoll(MAX_POLL_INTERVAL_MS);
      return () => {
        runs.delete(run);
        if (runs.size > 0) return;
        clearTimeout(timer);
        timer = undefined;
        probedAtMs.clear();
        failedAtMs.clear();
        thresholdFactors.clear();
      };
    },
    handleFailureReport(engineIds) {
      for (const engineId of engineIds) failedAtMs.set(engineId, now());
      if (!timer) return;
      clearTimeout(timer);
      poll();
    },
    checkEngine: (engine) => void probeNamedEngine(engine),
  };
}
