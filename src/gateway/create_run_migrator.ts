/**
 * Moves a running stream off engines that have failed, are leaving or are stalled.
 *
 * @module
 */

import type { StreamRelay } from "./create_stream_relay.ts";
import type { AddressedPart } from "./protocol.ts";
import { getCallTokens } from "./choose_call_path.ts";
import { getCallModel } from "./get_call_model.ts";
import { hasRunPath } from "./has_run_path.ts";
import { getMoveDelayMs } from "./get_move_delay_ms.ts";
import { moveOffEngine, recoverStalledRun } from "./recover_stalled_run.ts";
import type { StreamRun } from "./start_stream_run.ts";
import type { Call, ServingContext } from "./types.ts";

/** Options of {@link createRunMigrator}: the stream whose runs are moved. */
export interface CreateRunMigratorOptions {
  readonly relay: StreamRelay;
  /** Engines excluded for this call because they failed it; the migrator adds to them. */
  readonly excluded: Set<string>;
  /** Whether a run is still the one serving the call. */
  readonly isCurrent: (run: StreamRun) => boolean;
  /** Called when a run is stalled or has lost an engine, and could not be moved. */
  readonly onStranded: (run: StreamRun, failure: EngineFailure) => void;
}

/** Moves the runs of one call between engines. */
export interface RunMigrator {
  /** Checks a run that has been silent for long, and moves it if it is stalled. */
  checkStall(run: StreamRun): void;
  /** Moves a run off an engine that is leaving, once another engine holds its layers. */
  checkLeaving(run: StreamRun): void;
  /** Moves a run off an engine that has failed. */
  leaveFailedEngine(run: StreamRun, failure: EngineFailure): Promise<void>;
}

/** A failure of an engine, as far as it is known. */
export interface EngineFailure {
  readonly engineId: string;
  readonly reason: string;
  /**
   * Whether it is confirmed; true by default. If it isn't, the run stays where it has
   * no other path: the engine may be well.
   */
  readonly isConfirmed?: boolean;
  /**
   * Whether the engine has ended, and not only failed to answer; false by default. A
   * silent engine may go on.
   */
  readonly hasEnded?: boolean;
}

/** Interval, in ms, between attempts to move a run off an engine that is leaving. */
const MOVE_RETRY_INTERVAL_MS = 300;

/**
 * Creates the run migrator of one call.
 *
 * @param call - The call.
 * @param context - The engines and their control interface.
 * @param options - The stream and its excluded engines.
 * @returns The migrator.
 * @throws Nothing.
 * @example
 * const migrator = createRunMigrator(call, context, { relay, excluded, isCurrent });
 */
export function createRunMigrator(
  call: Call,
  context: ServingContext,
  options: CreateRunMigratorOptions,
): RunMigrator {
  const { relay, excluded, isCurrent, onStranded } = options;
  const { engines, now, metrics } = context;
  const nextMovesMs = new Map<string, number>();
  let isChecking = false;
  let lastMove = Promise.resolve();

  // One move at a time: each begins with the path that the one before it left.
  function runCheck(task: () => Promise<void>): void {
    isChecking = true;
    lastMove = lastMove.then(task).finally(() => {
      isChecking = false;
    });
  }

  async function recover(
    silentRun: StreamRun,
    path: readonly AddressedPart[],
  ): Promise<void> {
    // A move that ended before this check has restarted the wait for events.
    if (!isCurrent(silentRun) || silentRun.path !== path) return;
    const { events } = relay.getProgress();
    const recovery = await recoverStalledRun(call, context, { path, excluded });
    if (!isCurrent(silentRun)) return;
    if (recovery.type === "moved") return applyMove(silentRun, recovery.path);
    // A run that has passed an event to the caller in the meantime has not failed.
    const hasFailed = recovery.type === "lost" &&
      relay.getProgress().events === events;
    if (!hasFailed) return;
    const { isUnanswered, engineId, reason } = recovery;
    engines.suspect(engineId, reason, { isUnanswered });
    excluded.add(engineId).add(path[0].engineId);
    onStranded(silentRun, { engineId, reason });
  }

  function applyMove(run: StreamRun, path: readonly AddressedPart[]): void {
    run.switchPath(path);
    relay.restartSilence();
    metrics.count("paths.changed");
  }

  async function moveOffLeaving(
    run: StreamRun,
    engineId: string,
  ): Promise<void> {
    const { path } = run;
    const isOnPath = path.some((part) => part.engineId === engineId);
    if (!isCurrent(run) || !isOnPath) return;
    const moveOptions = { path, excluded, engineId };
    const newPath = await moveOffEngine(call, context, moveOptions);
    if (newPath && isCurrent(run)) applyMove(run, newPath);
  }

  function drawMoveDelayMs(): number {
    const drainMs = context.upstreamDrainMs;
    return getMoveDelayMs({ drainMs, random: context.random() });
  }

  // If a nearby engine takes over the failed engine's part, the other engines of the
  // path keep their state of the stream, and the prompt is not processed again there.
  async function leaveFailed(
    run: StreamRun,
    failure: EngineFailure,
  ): Promise<void> {
    const { engineId } = failure;
    const { path } = run;
    const isOnPath = path.some((part) => part.engineId === engineId);
    if (!isCurrent(run) || !isOnPath) return;
    const newPath = run.hasBegun &&
      await moveOffEngine(call, context, { path, excluded, engineId });
    if (!isCurrent(run)) return;
    if (newPath) {
      excluded.add(engineId);
      return applyMove(run, newPath);
    }
    reportUnlessAlone(run, failure);
  }

  // A first doubt is no reason to look for another path where there is none.
  function reportUnlessAlone(run: StreamRun, failure: EngineFailure): void {
    const { engineId, isConfirmed = true } = failure;
    if (!isConfirmed && !hasPathWithout(engineId)) return;
    excluded.add(engineId);
    onStranded(run, failure);
  }

  function hasPathWithout(engineId: string): boolean {
    const tokens = getCallTokens(call, getCallModel(call, context));
    return hasRunPath(call, context, {
      excluded: new Set([...excluded, engineId]),
      need: { tokens, isNew: false },
    });
  }

  return {
    checkStall(run) {
      if (isChecking || !isCurrent(run)) return;
      const { path } = run;
      runCheck(() => recover(run, path));
    },
    // Another engine holds the layers of a leaving one within a few seconds; the move is
    // retried until then.
    checkLeaving(run) {
      if (isChecking || !run.hasBegun || !isCurrent(run)) return;
      const leavingPart = run.path.slice(1)
        .find(({ engineId }) => engines.isLeaving(engineId));
      if (!leavingPart) return;
      const { engineId } = leavingPart;
      const nextMoveMs = nextMovesMs.get(engineId) ?? now() + drawMoveDelayMs();
      nextMovesMs.set(engineId, nextMoveMs);
      if (now() < nextMoveMs) return;
      nextMovesMs.set(engineId, now() + MOVE_RETRY_INTERVAL_MS);
      runCheck(() => moveOffLeaving(run, engineId));
    },
    // Engines that fail together are reported one by one, and each by several sources.
    // A move that begins while another one runs may not be needed any more, and every
    // move has the new engines read all tokens of the run.
    leaveFailedEngine(run, failure) {
      const { engineId } = failure;
      // Commands of earlier moves go to the first engine, so they may take until their
      // time-out where it is the one that failed.
      if (isCurrent(run) && run.path[0].engineId === engineId) {
        reportUnlessAlone(run, failure);
        return Promise.resolve();
      }
      lastMove = lastMove.then(() => leaveFailed(run, failure));
      return lastMove;
    },
  };
}
