/**
 * The leader's periodic work: sessions, engines and layer placement.
 *
 * @module
 */

import type { ListeningClock } from "../clocks/index.ts";
import type { Logger } from "../logs/index.ts";
import type { EngineRegistry } from "./create_engine_registry.ts";
import type { GatewaySessions } from "./create_gateway_sessions.ts";
import type { LayerController } from "./create_layer_controller.ts";
import type { PaceMonitor } from "./create_pace_monitor.ts";
import type { QuarantineCoordinator } from "./create_quarantine_coordinator.ts";
import type { Recorder } from "./create_recorder.ts";
import type { RetryLender } from "./create_retry_lender.ts";

/** Dependencies of {@link createLeaderLoop}. */
export interface CreateLeaderLoopOptions {
  /** Whether this process leads, holds the lease and has loaded the recorded state. */
  readonly isLeading: () => boolean;
  /** Counts the time for which this leader accepts messages. */
  readonly listening: Pick<ListeningClock, "tick">;
  /** Whether the fleet is being formed, so that no engine can hold layers yet. */
  readonly isFirstStart: boolean;
  readonly sessions: Pick<
    GatewaySessions,
    "tick" | "publishLoads" | "publishAllEngines"
  >;
  readonly registry: Pick<EngineRegistry, "tick" | "getRecords" | "knowsAll">;
  readonly paceMonitor: Pick<PaceMonitor, "tick">;
  readonly quarantine: Pick<QuarantineCoordinator, "tick">;
  readonly retryLender: Pick<RetryLender, "tick">;
  readonly recorders: readonly Recorder[];
  readonly layerManager: Pick<LayerController, "run">;
  readonly log: Logger;
}

/** The leader's periodic work. */
export interface LeaderLoop {
  /** Runs one round, if this process leads. */
  tick(): void;
  /** Resets the state of an earlier leadership: the full engine list is sent again. */
  reset(): void;
}

/** Rounds between two publications of the load that gateways have in flight. */
const LOADS_INTERVAL_ROUNDS = 2;

/**
 * Creates the loop; the caller runs it on a timer.
 *
 * @param options - The components that it drives.
 * @returns The loop.
 * @throws Nothing.
 * @example
 * setInterval(createLeaderLoop(options).tick, 250);
 */
export function createLeaderLoop(
  options: CreateLeaderLoopOptions,
): LeaderLoop {
  const { sessions, registry, layerManager, log } = options;
  let rounds = 0;
  let hasPublishedAllEngines = false;
  let isPlacingLayers = false;

  async function placeLayers(): Promise<void> {
    if (isPlacingLayers) return;
    isPlacingLayers = true;
    await layerManager.run().catch((error) => log("internalError", { error }));
    isPlacingLayers = false;
  }

  function recordChanges(): void {
    for (const recorder of options.recorders) void recorder.run();
  }

  // A new fleet needn't wait until all engines have registered: while none holds
  // layers, a late heartbeat can't change the placement.
  function placeLayersOfNewFleet(): void {
    const records = registry.getRecords();
    const isNew = options.isFirstStart &&
      records.every((record) => record.layers === undefined);
    if (isNew) void placeLayers();
  }

  return {
    tick() {
      const isLeading = options.isLeading();
      options.listening.tick({ isListening: isLeading });
      if (!isLeading) return;
      sessions.tick();
      rounds += 1;
      if (rounds % LOADS_INTERVAL_ROUNDS === 0) sessions.publishLoads();
      void options.paceMonitor.tick();
      options.quarantine.tick();
      options.retryLender.tick();
      if (!registry.knowsAll()) {
        recordChanges();
        return placeLayersOfNewFleet();
      }
      registry.tick();
      recordChanges();
      if (!hasPublishedAllEngines) {
        hasPublishedAllEngines = true;
        sessions.publishAllEngines();
      }
      void placeLayers();
    },
    reset() {
      hasPublishedAllEngines = false;
    },
  };
}
