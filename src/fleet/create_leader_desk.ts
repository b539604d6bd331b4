/**
 * Answers the calls that only the leader can answer.
 *
 * @module
 */

import {
  type EngineBeat,
  getUpstreamName,
  type LeaveKind,
} from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";
import { findConfigProblems } from "../routes/index.ts";
import type { EngineRegistry } from "./create_engine_registry.ts";
import type { FleetCommand, FleetMachine } from "./create_fleet_machine.ts";
import type { QuarantineDesk } from "./create_quarantine_desk.ts";
import type { ConfigHistory } from "./create_config_history.ts";
import type { FleetCall, FleetReply } from "./messages.ts";
import { unpackDocument } from "./pack_document.ts";

/** What the desk needs of its program. */
export interface CreateLeaderDeskOptions {
  readonly machine: FleetMachine;
  readonly registry: EngineRegistry;
  readonly quarantine: Pick<QuarantineDesk, "list" | "lift">;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly confirmRead: () => Promise<void>;
  /** Whether it surely leads at this moment. */
  readonly hasLease: () => boolean;
  /** Whether what is accepted now outlives the losses that are to be borne. */
  readonly hasEnoughVoters: () => boolean;
  readonly history: Pick<ConfigHistory, "read">;
  readonly log: Logger;
}

/** Answers calls as the leader. */
export interface LeaderDesk {
  take(call: FleetCall): Promise<FleetReply>;
  /**
   * Records the leaves of upstreams that said in answers that they leave. Never
   * rejects: gateways tell of them until they are recorded.
   */
  noteLeaves(engineIds: readonly string[]): Promise<void>;
}

const DONE: FleetReply = { type: "done" };

/**
 * Makes the desk.
 *
 * @param options - The state, the registry, how commands are proposed.
 * @returns The desk.
 * @throws Nothing; what fails is answered as unavailable.
 * @example
 * const reply = await desk.take({ type: "readConfig" });
 */
export function createLeaderDesk(options: CreateLeaderDeskOptions): LeaderDesk {
  const { machine, registry, propose, log } = options;
  // Leaves that are being recorded: many gateways tell of one.
  const proposed = new Set<string>();

  async function takeConfig(
    call: FleetCall & { type: "putConfig" },
  ): Promise<FleetReply> {
    const { packed } = call;
    const config = options.history.read(packed);
    const problems = findConfigProblems(config);
    if (problems.length > 0) {
      log("configInvalid", { version: config.version, problems });
      return { type: "invalid", problems };
    }
    const { version } = config;
    const held = machine.getAccepted()?.version ?? -1;
    if (version <= held) return DONE;
    if (!options.hasEnoughVoters()) {
      return { type: "unavailable", reason: "too few voters" };
    }
    await propose({ type: "putConfig", version, packed });
    return DONE;
  }

  async function readConfig(): Promise<FleetReply> {
    await options.confirmRead();
    const accepted = machine.getAccepted();
    const document = accepted ? unpackDocument(accepted.packed) : null;
    return { type: "document", document };
  }

  // A leader whose disk stands still does not see that another one leads, and
  // beats that it took would be missing there.
  async function takeBeat(beat: EngineBeat): Promise<FleetReply> {
    if (!options.hasLease()) return { type: "unavailable", reason: "no lease" };
    const { engineId } = beat;
    const leave = machine.getLeave(engineId);
    const early = leave === undefined
      ? machine.getLeave(getUpstreamName(beat))
      : undefined;
    if (early !== undefined) await bindLeave(beat, early);
    else if (beat.isLeaving && leave === undefined) {
      await proposeLeave(engineId, "draining");
    }
    registry.take(beat);
    return DONE;
  }

  // A leave that came before any beat is of the run that is heard of first.
  async function bindLeave(
    beat: EngineBeat,
    kind: LeaveKind,
  ): Promise<void> {
    const { engineId } = beat;
    const name = getUpstreamName(beat);
    await propose({ type: "leave", engineId, kind, name });
    log("engineLeaves", { engineId, kind });
  }

  // Who leaves names itself, not its run: the newest one is meant.
  async function takeLeave(name: string): Promise<FleetReply> {
    const engineId = registry.findRunId(name) ?? name;
    if (machine.getLeave(engineId) !== "gone") {
      await proposeLeave(engineId, "gone");
    }
    return DONE;
  }

  async function proposeLeave(
    engineId: string,
    kind: LeaveKind,
  ): Promise<void> {
    await propose({ type: "leave", engineId, kind });
    log("engineLeaves", { engineId, kind });
  }

  // Only of runs that are there: what gateways tell may be of an earlier one.
  function isLeaveNews(engineId: string): boolean {
    return registry.hasRun(engineId) && !proposed.has(engineId) &&
      machine.getLeave(engineId) === undefined;
  }

  async function noteLeave(engineId: string): Promise<void> {
    proposed.add(engineId);
    try {
      await proposeLeave(engineId, "draining");
    } catch (error) {
      log("callFailed", { call: "leave", engineId, error });
    } finally {
      proposed.delete(engineId);
    }
  }

  async function answer(call: FleetCall): Promise<FleetReply> {
    switch (call.type) {
      case "putConfig":
        return await takeConfig(call);
      case "readConfig":
        return await readConfig();
      case "beat":
        return await takeBeat(call.beat);
      case "leave":
        return await takeLeave(call.engineId);
      case "listCases":
        await options.confirmRead();
        return { type: "cases", cases: options.quarantine.list() };
      case "liftCase":
        await options.quarantine.lift(call.requestKey);
        return DONE;
    }
  }

  return {
    async noteLeaves(engineIds) {
      await Promise.all(engineIds.filter(isLeaveNews).map(noteLeave));
    },
    async take(call) {
      try {
        return await answer(call);
      } catch (error) {
        log("callFailed", { call: call.type, error });
        return { type: "unavailable", reason: (error as Error).message };
      }
    },
  };
}
