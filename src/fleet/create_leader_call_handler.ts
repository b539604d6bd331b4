/**
 * Handles the calls that only the leader can answer.
 *
 * @module
 */

import {
  type EngineHeartbeat,
  getUpstreamName,
  type LeaveKind,
} from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";
import { findConfigProblems } from "../routes/index.ts";
import type { EngineRegistry } from "./create_engine_registry.ts";
import type {
  FleetCommand,
  FleetStateMachine,
} from "./create_fleet_state_machine.ts";
import type { MembershipManager } from "./create_membership_manager.ts";
import type { QuarantineCoordinator } from "./create_quarantine_coordinator.ts";
import type { ConfigHistory } from "./create_config_history.ts";
import type { FleetCall, FleetReply } from "./messages.ts";
import { unpackDocument } from "./pack_document.ts";

/** Dependencies of {@link createLeaderCallHandler}. */
export interface CreateLeaderCallHandlerOptions {
  readonly machine: FleetStateMachine;
  readonly registry: EngineRegistry;
  readonly quarantine: Pick<QuarantineCoordinator, "list" | "lift">;
  readonly members: Pick<MembershipManager, "replace">;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly confirmRead: () => Promise<void>;
  /** Whether this process holds the leader lease. */
  readonly hasLease: () => boolean;
  /** Whether there are enough voters for a commit to survive the tolerated failures. */
  readonly hasEnoughVoters: () => boolean;
  readonly history: Pick<ConfigHistory, "read">;
  readonly log: Logger;
}

/** Handles calls on the leader. */
export interface LeaderCallHandler {
  handle(call: FleetCall): Promise<FleetReply>;
  /**
   * Records that upstreams are leaving, as they announced in responses. Never
   * rejects: gateways report a leave until it is recorded.
   */
  recordLeaves(engineIds: readonly string[]): Promise<void>;
}

const DONE: FleetReply = { type: "done" };

/**
 * Creates the handler.
 *
 * @param options - The state machine, the registry, how commands are proposed.
 * @returns The handler.
 * @throws Nothing; a failed call resolves to an "unavailable" reply.
 * @example
 * const reply = await handler.handle({ type: "readConfig" });
 */
export function createLeaderCallHandler(
  options: CreateLeaderCallHandlerOptions,
): LeaderCallHandler {
  const { machine, registry, propose, log } = options;
  // Leaves being recorded: many gateways report the same one.
  const pendingLeaves = new Set<string>();

  async function handlePutConfig(
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
    const acceptedVersion = machine.getAcceptedConfig()?.version ?? -1;
    if (version <= acceptedVersion) return DONE;
    if (!options.hasEnoughVoters()) {
      return { type: "unavailable", reason: "too few voters" };
    }
    await propose({ type: "putConfig", version, packed });
    return DONE;
  }

  async function handleReadConfig(): Promise<FleetReply> {
    await options.confirmRead();
    const accepted = machine.getAcceptedConfig();
    const document = accepted ? unpackDocument(accepted.packed) : null;
    return { type: "document", document };
  }

  // A leader whose disk is stalled does not notice that another one has been elected,
  // and heartbeats that it accepted would be missing there.
  async function handleHeartbeat(
    heartbeat: EngineHeartbeat,
  ): Promise<FleetReply> {
    if (!options.hasLease()) return { type: "unavailable", reason: "no lease" };
    const { engineId } = heartbeat;
    const leave = machine.getLeave(engineId);
    const earlyLeave = leave === undefined
      ? machine.getLeave(getUpstreamName(heartbeat))
      : undefined;
    if (earlyLeave !== undefined) await bindLeave(heartbeat, earlyLeave);
    else if (heartbeat.isLeaving && leave === undefined) {
      await proposeLeave(engineId, "draining");
    }
    registry.handleHeartbeat(heartbeat);
    return DONE;
  }

  // A leave recorded before any heartbeat, under the upstream's name, applies to the
  // first incarnation that sends one.
  async function bindLeave(
    heartbeat: EngineHeartbeat,
    kind: LeaveKind,
  ): Promise<void> {
    const { engineId } = heartbeat;
    const name = getUpstreamName(heartbeat);
    await propose({ type: "leave", engineId, kind, name });
    log("engineLeaves", { engineId, kind });
  }

  // A leave names the upstream, not the incarnation: the newest one is meant.
  async function handleLeave(name: string): Promise<FleetReply> {
    const engineId = registry.findIncarnationId(name) ?? name;
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

  // Only for registered incarnations: a gateway's report may be about an earlier one.
  function isNewLeave(engineId: string): boolean {
    return registry.hasRun(engineId) && !pendingLeaves.has(engineId) &&
      machine.getLeave(engineId) === undefined;
  }

  async function recordLeave(engineId: string): Promise<void> {
    pendingLeaves.add(engineId);
    try {
      await proposeLeave(engineId, "draining");
    } catch (error) {
      log("callFailed", { call: "leave", engineId, error });
    } finally {
      pendingLeaves.delete(engineId);
    }
  }

  async function dispatch(call: FleetCall): Promise<FleetReply> {
    switch (call.type) {
      case "putConfig":
        return await handlePutConfig(call);
      case "readConfig":
        return await handleReadConfig();
      case "beat":
        return await handleHeartbeat(call.beat);
      case "leave":
        return await handleLeave(call.engineId);
      case "listCases":
        await options.confirmRead();
        return { type: "cases", cases: options.quarantine.list() };
      case "liftCase":
        await options.quarantine.lift(call.requestKey);
        return DONE;
      case "releaseVote":
        return await options.members.replace(call.replicaId)
          ? DONE
          : { type: "unavailable", reason: "no replacement" };
      default:
        // Of a process of a later build.
        return { type: "unavailable", reason: "unknown call" };
    }
  }

  return {
    async recordLeaves(engineIds) {
      await Promise.all(engineIds.filter(isNewLeave).map(recordLeave));
    },
    async handle(call) {
      try {
        return await dispatch(call);
      } catch (error) {
        log("callFailed", { call: call.type, error });
        return { type: "unavailable", reason: (error as Error).message };
      }
    },
  };
}
