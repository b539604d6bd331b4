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
import type { StreamRun } from "./start_stream_run.ts";
import type { Call, ServingContext } from "./types.ts";

/** Options of {@link createStrandedRuns}: the runs of the call. */
export interface CreateStrandedRunsOptions {
  readonly runs: OpenRuns<StreamRun>;
  readonly runRecord: Pick<RunRecord, "detectCrashes">;
  /** Whether the call has ended. */
  readonly hasCallEnded: () => boolean;
  /** Ms for which the stream has been silent. */
  readonly getSilenceMs: () => number;
  /** Whether the call may run again while its open runs stay open. */
  readonly mayRunAgain: () => boolean;
  /** Called with a run that may be running on its engines. */
  readonly onRun: (run: StreamRun) => void;
  /** Called when the current run was set aside, so that another one is looked for. */
  readonly onSetAside: () => void;
  /** Called when an engine of the current run has ended. */
  readonly onEngineEnded: (run: StreamRun, failure: EngineFailure) => void;
}

/** The stranded runs of one call. */
export interface StrandedRuns {
  /**
   * Handles a failure that strands the current run. The run stays open; while the call
   * may run again, it is set aside.
   */
  handle(run: StreamRun, failure: EngineFailure): void;
  /**
   * Whether a silent run may ask its engines now what it waits for. A stranded one does
   * so less often: its next event shows sooner that it goes on.
   */
  mayCheckStall(run: StreamRun): boolean;
  /**
   * Checks whether engines of stranded runs have ended; runs that lost one are ended or
   * moved. To be called while a stranded run is silent or no path is found.
   */
  check(): Promise<void>;
  /** Records that a run goes on, and uses the engines of its path again. */
  noteProgress(run: StreamRun): void;
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
export function createStrandedRuns(
  call: Call,
  context: ServingContext,
  options: CreateStrandedRunsOptions,
): StrandedRuns {
  const { runs, runRecord, hasCallEnded, mayRunAgain } = options;
  const { engines, now, log } = context;
  const { request: { requestId }, service } = call;
  const sinceMs = new Map<StreamRun, number>();
  let nextCheckMs = 0;
  let nextStallCheckMs = 0;

  // A request that is suspected of crashing engines starts on no other one. A run that
  // has lost an engine behind its first one may start at the first one again.
  function mayLookElsewhere(run: StreamRun, failure: EngineFailure): boolean {
    const { engineId, hasEnded = false } = failure;
    const mayStartAgain = hasEnded && engineId !== run.path[0].engineId;
    return (mayStartAgain || mayRunAgain()) &&
      context.quarantine.judge(call).type === "free";
  }

  function handle(run: StreamRun, failure: EngineFailure): void {
    if (hasCallEnded() || runs.getCurrent() !== run) return;
    const { engineId, reason, hasEnded = false } = failure;
    if (!run.isSent) return run.leave(engineId, reason);
    options.onRun(run);
    if (reason === REFUSES_CONNECTIONS) engines.noteEnded(engineId);
    const isAllowed = mayLookElsewhere(run, failure);
    if (!sinceMs.has(run) || isAllowed) {
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
    if (!sinceMs.has(run)) {
      sinceMs.set(run, now());
      nextStallCheckMs = now() + STALL_CHECK_INTERVAL_MS;
    }
    if (!isAllowed) return;
    if (hasEnded) return run.leave(engineId, reason);
    runs.setAside(run);
    options.onSetAside();
  }

  // A machine without power resets no connection, so the end of its engines shows only
  // once the leader has removed them.
  async function leaveRemovedEngine(run: StreamRun): Promise<void> {
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
      if (!sinceMs.has(run)) return true;
      if (now() < nextStallCheckMs) return false;
      nextStallCheckMs = now() + STALL_CHECK_INTERVAL_MS;
      return true;
    },
    async check() {
      if (sinceMs.size === 0 || now() < nextCheckMs) return;
      nextCheckMs = now() + CHECK_INTERVAL_MS;
      const stranded = [...sinceMs.keys()].filter(runs.isOpen);
      await Promise.all(stranded.map(leaveRemovedEngine));
      const run = runs.getCurrent();
      if (!run || !sinceMs.has(run) || !mayRunAgain()) return;
      const [{ engineId }] = run.path;
      handle(run, { engineId, reason: REMOVED });
    },
    noteProgress(run) {
      const strandedSinceMs = sinceMs.get(run);
      if (strandedSinceMs === undefined) return;
      sinceMs.delete(run);
      run.path.forEach(({ engineId }) => engines.noteWorking(engineId));
      log("runWentOn", {
        requestId,
        engineId: run.path[0].engineId,
        strandedMs: Math.round(now() - strandedSinceMs),
      });
    },
  };
}
