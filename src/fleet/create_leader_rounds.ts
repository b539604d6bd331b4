/**
 * What a leader does again and again: it looks at sessions, engines, layers and
 * members.
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

/** What the rounds look after. */
export interface CreateLeaderRoundsOptions {
  /** Whether this process surely leads at this moment. */
  readonly isLeading: () => boolean;
  /** Counts the time for which this leader takes what others send. */
  readonly listening: Pick<ListeningClock, "look">;
  /** Whether it has done so for so many ms since it leads. */
  readonly listensFor: (spanMs: number) => boolean;
  /** Whether the fleet is new: nobody can hold anything yet. */
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

/** The rounds of a leader. */
export interface LeaderRounds {
  /** Makes a round, if this process leads. */
  tick(): void;
  /** Forgets what an earlier time of leading has told. */
  reset(): void;
}

/** Rounds between two pieces of news of what gateways have in flight. */
const LOADS_ROUNDS = 2;

/** Ms of silence after which a voter may be replaced. */
export const VOTER_SILENCE_MS = 2_500;

/**
 * Makes the rounds.
 *
 * @param options - What they look after.
 * @returns The rounds.
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

  // Before anyone holds layers there is nothing that a late beat could tell.
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
