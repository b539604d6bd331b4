/**
 * The leader's periodic work: sessions, engines, layer placement and quorum members.
 *
 * @module
 */

import type { ListeningClock } from "../clocks/index.ts";
import type { Logger } from "../logs/index.ts";
import type { EngineRegistry } from "./create_engine_registry.ts";
import type { GatewaySessions } from "./create_gateway_sessions.ts";
import type { LayerKeeper } from "./create_layer_keeper.ts";
import type { MemberKeeper } from "./create_member_keeper.ts";
import type { PaceWatch } from "./create_pace_watch.ts";
import type { QuarantineDesk } from "./create_quarantine_desk.ts";
import type { Recorder } from "./create_recorder.ts";

/** Dependencies of {@link createLeaderRounds}. */
export interface CreateLeaderRoundsOptions {
  /** Whether this process leads, holds the lease and has loaded the recorded state. */
  readonly isLeading: () => boolean;
  /** Counts the time for which this leader accepts messages. */
  readonly listening: Pick<ListeningClock, "look">;
  /** Whether it has accepted messages for this many ms since it was elected. */
  readonly listensFor: (spanMs: number) => boolean;
  /** Whether the fleet is being formed, so that no engine can hold layers yet. */
  readonly isFirstStart: boolean;
  readonly sessions: Pick<
    GatewaySessions,
    "tick" | "publishLoads" | "publishAllEngines"
  >;
  readonly registry: Pick<EngineRegistry, "tick" | "getRecords" | "knowsAll">;
  readonly paces: Pick<PaceWatch, "tick">;
  readonly quarantine: Pick<QuarantineDesk, "tick">;
  readonly recorders: readonly Recorder[];
  readonly members: Pick<MemberKeeper, "look" | "run">;
  readonly keeper: Pick<LayerKeeper, "run">;
  readonly log: Logger;
}

/** The leader's periodic work. */
export interface LeaderRounds {
  /** Runs one round, if this process leads. */
  tick(): void;
  /** Resets the state of an earlier leadership: the full engine list is sent again. */
  reset(): void;
}

/** Rounds between two publications of the load that gateways have in flight. */
const LOADS_ROUNDS = 2;

/** Ms without a response after which a voter may be replaced. */
export const VOTER_SILENCE_MS = 2_500;

/**
 * Creates the loop; the caller runs it on a timer.
 *
 * @param options - The components that it drives.
 * @returns The loop.
 * @throws Nothing.
 * @example
 * setInterval(createLeaderRounds(options).tick, 250);
 */
export function createLeaderRounds(
  options: CreateLeaderRoundsOptions,
): LeaderRounds {
  const { listensFor, sessions, registry, keeper, log } = options;
  let rounds = 0;
  let hasToldAllEngines = false;
  let isKeeping = false;

  async function keepLayers(): Promise<void> {
    if (isKeeping) return;
    isKeeping = true;
    await keeper.run().catch((error) => log("internalError", { error }));
    isKeeping = false;
  }

  function record(): void {
    for (const recorder of options.recorders) void recorder.run();
  }

  // A new fleet needn't wait until all engines have registered: while none holds
  // layers, a late heartbeat can't change the placement.
  function keepLayersOfNewFleet(): void {
    const records = registry.getRecords();
    const isNew = options.isFirstStart &&
      records.every((record) => record.layers === undefined);
    if (isNew) void keepLayers();
  }

  return {
    tick() {
      const isLeading = options.isLeading();
      options.listening.look({ isListening: isLeading });
      if (!isLeading) return;
      options.members.look();
      sessions.tick();
      rounds += 1;
      if (rounds % LOADS_ROUNDS === 0) sessions.publishLoads();
      void options.paces.tick();
      options.quarantine.tick();
      if (!registry.knowsAll()) {
        record();
        return keepLayersOfNewFleet();
      }
      registry.tick();
      record();
      if (!hasToldAllEngines) {
        hasToldAllEngines = true;
        sessions.publishAllEngines();
      }
      if (listensFor(VOTER_SILENCE_MS)) void options.members.run();
      void keepLayers();
    },
    reset() {
      hasToldAllEngines = false;
    },
  };
}
