/**
 * Decides what happens to a run whose engines fail or are silent and which could not be
 * moved off them.
 *
 * @module
 */

import type { OpenRuns } from "./create_open_runs.ts";
import type { EngineFailure } from "./create_run_migrator.ts";
import { REFUSES_CONNECTIONS } from "./create_run_monitor.ts";
import type { RunRecord } from "./create_run_record.ts";
import type { AddressedPart } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** A run at engines, or at another gateway, as far as it can be stranded. */
export interface StrandableRun {
  /** Its engines; none where another gateway runs it. */
  readonly path: readonly AddressedPart[];
  /** Whether bytes of the request may have been sent. */
  readonly isSent: boolean;
  /** Ends the run because of an engine or another gateway. */
  leave(engineId: string, reason: string): void;
}

/** Options of {@link createStrandedRuns}: the runs of the call. */
export interface CreateStrandedRunsOptions<Run extends StrandableRun> {
  readonly runs: OpenRuns<Run>;
  readonly runRecord: Pick<RunRecord, "detectCrashes">;
  /** Whether the call has ended. */
  readonly hasCallEnded: () => boolean;
  /** Ms for which the stream has been silent. */
  readonly getSilenceMs: () => number;
  /** Whether the call may run again while its open runs stay open. */
  readonly mayRunAgain: () => boolean;
  /** Called with a run that may be running on its engines. */
  readonly onRun: (run: Run) => void;
  /** Called when the current run was set aside, so that another one is looked for. */
  readonly onSetAside: () => void;
  /** Called when an engine of the current run has ended. */
  readonly onEngineEnded: (run: Run, failure: EngineFailure) => void;
}

/** The stranded runs of one call. */
export interface StrandedRuns<Run extends StrandableRun> {
  /**
   * Handles a failure that strands the current run. The run stays open; while the call
   * may run again, it is set aside.
   */
  handle(run: Run, failure: EngineFailure): void;
  /**
   * Whether a silent run may ask its engines now what it waits for. A stranded one does
   * so less often: its next event shows sooner that it goes on.
   */
  mayCheckStall(run: Run): boolean;
  /**
   * Checks whether engines of stranded runs have ended; runs that lost one are ended or
   * moved. To be called while a stranded run is silent or no path is found.
   */
  check(): Promise<void>;
  /** Records that a run goes on, and uses the engines of its path again. */
  noteProgress(run: Run): void;
}

/** Ms between two checks of whether the engines of stranded runs have ended. */
const CHECK_INTERVAL_MS = 500;

/** Ms between two stall checks of a stranded run. */
const STALL_CHECK_INTERVAL_MS = 1_000;

/** Reason for which a run leaves an engine that the leader has removed. */
const REMOVED = "no longer registered";

/**
 * Creates the stranded runs of one call, none at first. A silent engine may go on, and
 * another run may be no better. So a run is ended only where its engine is known to have
 * ended, or once another run goes on.
 *
 * @param call - The call.
 * @param context - The engines and the quarantine.
 * @param options - The runs of the call.
 * @returns The stranded runs.
 * @throws Nothing.
 * @example
 * const stranded = createStrandedRuns(call, context, options);
 */
export function createStrandedRuns<Run extends StrandableRun>(
  call: Call,
  context: ServingContext,
  options: CreateStrandedRunsOptions<Run>,
): StrandedRuns<Run> {
  const { runs, runRecord, hasCallEnded, mayRunAgain } = options;
  const { engines, now, log } = context;
  const { request: { requestId }, service } = call;
  const failures = new Map<
    Run,
    { readonly sinceMs: number; readonly failure: EngineFailure }
  >();
  let nextCheckMs = 0;
  let nextStallCheckMs = 0;

  // A request that is suspected of crashing engines starts on no other one. A run that
  // has lost an engine behind its first one may start at the first one again.
  function mayLookElsewhere(run: Run, failure: EngineFailure): boolean {
    const { engineId, hasEnded = false } = failure;
    const mayStartAgain = hasEnded && engineId !== run.path[0]?.engineId;
    return (mayStartAgain || mayRunAgain()) &&
      context.quarantine.judge(call).type === "free";
  }

  function handle(run: Run, failure: EngineFailure): void {
    if (hasCallEnded() || runs.getCurrent() !== run) return;
    const { engineId, reason, hasEnded = false } = failure;
    if (!run.isSent) return run.leave(engineId, reason);
    options.onRun(run);
    if (reason === REFUSES_CONNECTIONS) engines.noteEnded(engineId);
    const isAllowed = mayLookElsewhere(run, failure);
    if (!failures.has(run) || isAllowed) {
      log("runStranded", {
        requestId,
        engineId,
        reason,
        isAllowed,
        silenceMs: Math.round(options.getSilenceMs()),
        leftMs: Math.round(call.deadlineMs - now()),
        ...engines.countLeftOut(service),
      });
    }
    if (!failures.has(run)) {
      failures.set(run, { sinceMs: now(), failure });
      nextStallCheckMs = now() + STALL_CHECK_INTERVAL_MS;
    }
    if (!isAllowed) return;
    if (hasEnded) return run.leave(engineId, reason);
    runs.setAside(run);
    options.onSetAside();
  }

  // A machine without power resets no connection, so the end of its engines shows only
  // once the leader has removed them.
  async function leaveRemovedEngine(run: Run): Promise<void> {
    const removed = run.path.find(({ engineId }) =>
      engines.get(engineId) === undefined
    );
    if (!removed) return;
    const liveness = await context.livenessCheck.check(removed);
    // The leader also removes engines that are only suspended; these accept connections.
    if (liveness === "listening" && !engines.isAddressTaken(removed)) return;
    await runRecord.detectCrashes();
    if (hasCallEnded() || !runs.isOpen(run)) return;
    const { engineId } = removed;
    if (runs.getCurrent() !== run) return run.leave(engineId, REMOVED);
    options.onEngineEnded(run, { engineId, reason: REMOVED, hasEnded: true });
  }

  return {
    handle,
    mayCheckStall(run) {
      if (!failures.has(run)) return true;
      if (now() < nextStallCheckMs) return false;
      nextStallCheckMs = now() + STALL_CHECK_INTERVAL_MS;
      return true;
    },
    async check() {
      if (failures.size === 0 || now() < nextCheckMs) return;
      nextCheckMs = now() + CHECK_INTERVAL_MS;
      const stranded = [...failures.keys()].filter(runs.isOpen);
      await Promise.all(stranded.map(leaveRemovedEngine));
      const run = runs.getCurrent();
      const stayed = run && failures.get(run);
      if (run && stayed && mayRunAgain()) handle(run, stayed.failure);
    },
    noteProgress(run) {
      const stranded = failures.get(run);
      if (!stranded) return;
      failures.delete(run);
      run.path.forEach(({ engineId }) => engines.noteWorking(engineId));
      log("runWentOn", {
        requestId,
        engineId: stranded.failure.engineId,
        strandedMs: Math.round(now() - stranded.sinceMs),
      });
    },
  };
}
