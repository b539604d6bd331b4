/**
 * Replicated state machine of the control plane. It applies the commands of the
 * quorum's log and holds the accepted configuration, planned leaves of upstreams, the
 * last recorded upstreams and gateways, and suspected requests.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";
import {
  type EngineRecord,
  type LeaveKind,
  type NewestIncarnation,
  type NewestIncarnations,
  recordIncarnation,
} from "../engines/index.ts";
import {
  type CrashCase,
  type CrashCases,
  type CrashReport,
  type JudgedReport,
  recordCrashes,
  refuteCrashes,
} from "../quarantine/index.ts";
import type { GatewayRecord } from "./messages.ts";

/** A command in the replicated log. */
export type FleetCommand =
  | {
    readonly type: "putConfig";
    readonly version: number;
    /** The configuration as the operator wrote it, packed. */
    readonly packed: string;
  }
  | {
    readonly type: "leave";
    /** Incarnation of an upstream, or the upstream's name if none was known. */
    readonly engineId: string;
    readonly kind: LeaveKind;
    /** Name under which the leave was recorded before its incarnation was known. */
    readonly name?: string;
  }
  | {
    readonly type: "engines";
    /** New or changed upstreams. */
    readonly changed: readonly EngineRecord[];
    /** Upstreams that were removed from the registry. */
    readonly lost: readonly string[];
  }
  | {
    readonly type: "gateways";
    /** New or changed gateways. */
    readonly changed: readonly GatewayRecord[];
    /** VMs whose gateways were removed from the list. */
    readonly lost: readonly string[];
  }
  | {
    /** Upstreams that crashed just after they had begun a request. */
    readonly type: "crashes";
    readonly reports: readonly JudgedReport[];
  }
  | {
    /**
     * Recorded crashes of upstreams that are running. Replicas of earlier builds keep
     * the crashes until they expire.
     */
    readonly type: "crashesRefuted";
    readonly reports: readonly CrashReport[];
  }
  | {
    /**
     * Most retries of a service that the leader may have lent in a window. Replicas of
     * earlier builds ignore it.
     */
    readonly type: "retryCeilings";
    readonly ceilings: readonly (readonly [string, number])[];
  }
  | {
    /** Requests that are no longer suspected. */
    readonly type: "casesCleared";
    readonly requestKeys: readonly string[];
  };

/** An accepted configuration. */
export interface AcceptedConfig {
  readonly version: number;
  /** As the operator wrote it, packed. */
  readonly packed: string;
}

/** The replicated state machine of one control process. */
export interface FleetStateMachine {
  getAcceptedConfig(): AcceptedConfig | undefined;
  getLeave(engineId: string): LeaveKind | undefined;
  /**
   * Upstreams that the latest leader recorded. A new leader starts from them, so that
   * after a restart of all processes the fleet serves before the first heartbeat.
   */
  getEngines(): ReadonlyMap<string, EngineRecord>;
  /** Gateways that the latest leader recorded. */
  getGateways(): ReadonlyMap<string, GatewayRecord>;
  /** Requests that are suspected of crashing upstreams. */
  getCases(): CrashCases;
  /** Newest incarnation of each upstream, including departed ones. */
  getNewestIncarnations(): NewestIncarnations;
  /** Most retries of each service that the leader may have lent in a window. */
  getRetryCeilings(): ReadonlyMap<string, number>;
  apply(body: string): void;
  save(): string;
  restore(data: string): void;
}

/** Options of {@link createFleetStateMachine}. */
export interface CreateFleetStateMachineOptions {
  /** Called once for each command that changed the state. */
  readonly onChange?: (command: FleetCommand) => void;
  /** Number of leaves to remember; the oldest are evicted first. */
  readonly maxLeaves?: number;
}

/**
 * Default of {@link CreateFleetStateMachineOptions.maxLeaves}: far more than leave within an
 * hour. Old leaves may be evicted, as the id of an incarnation is never reused.
 */
const MAX_REMEMBERED_LEAVES = 5_000;

interface FleetSnapshot {
  readonly accepted?: AcceptedConfig;
  readonly leaves: readonly (readonly [string, LeaveKind])[];
  readonly engines: readonly EngineRecord[];
  /** These are absent in snapshots of earlier versions. */
  readonly newestRuns?: readonly (readonly [string, NewestIncarnation])[];
  readonly cases?: readonly CrashCase[];
  readonly gateways?: readonly GatewayRecord[];
  readonly retryCeilings?: readonly (readonly [string, number])[];
}

/**
 * Creates an empty state machine.
 *
 * @param options - Listener for changes, and bounds.
 * @returns The state machine.
 * @throws Nothing.
 * @example
 * const machine = createFleetStateMachine({ onChange });
 */
export function createFleetStateMachine(
  options: CreateFleetStateMachineOptions = {},
): FleetStateMachine {
  const { onChange = () => {}, maxLeaves = MAX_REMEMBERED_LEAVES } = options;
  let accepted: AcceptedConfig | undefined;
  let leaves = new Map<string, LeaveKind>();
  let engines = new Map<string, EngineRecord>();
  let newestRuns: NewestIncarnations = new Map();
  let cases: CrashCases = new Map();
  let gateways = new Map<string, GatewayRecord>();
  let retryCeilings = new Map<string, number>();

  function applyConfig(command: FleetCommand & { type: "putConfig" }): boolean {
    const { version, packed } = command;
    // The highest version wins; versions that arrive late are ignored.
    if (accepted && version <= accepted.version) return false;
    accepted = { version, packed };
    return true;
  }

  function applyLeave(command: FleetCommand & { type: "leave" }): boolean {
    const { engineId, kind, name } = command;
    if (name !== undefined) leaves.delete(name);
    const known = leaves.get(engineId);
    if (known === kind || known === "gone") return false;
    leaves.set(engineId, kind);
    evictOldest(leaves, maxLeaves);
    return true;
  }

  function applyEngines(command: FleetCommand & { type: "engines" }): boolean {
    for (const engineId of command.lost) engines.delete(engineId);
    for (const record of command.changed) engines.set(record.engineId, record);
    newestRuns = command.changed.reduce(recordIncarnation, newestRuns);
    return true;
  }

  function applyGateways(
    command: FleetCommand & { type: "gateways" },
  ): boolean {
    for (const vm of command.lost) gateways.delete(vm);
    for (const gateway of command.changed) gateways.set(gateway.vm, gateway);
    return true;
  }

  function applyRetryCeilings(
    { ceilings }: FleetCommand & { type: "retryCeilings" },
  ): boolean {
    for (const [service, ceiling] of ceilings) {
      if (ceiling > 0) retryCeilings.set(service, ceiling);
      else retryCeilings.delete(service);
    }
    return true;
  }

  function replaceCases(next: CrashCases): boolean {
    const hasChanged = next !== cases;
    cases = next;
    return hasChanged;
  }

  function clearCases(requestKeys: readonly string[]): boolean {
    const remaining = [...cases].filter(([key]) => !requestKeys.includes(key));
    return remaining.length < cases.size && replaceCases(new Map(remaining));
  }

  function applyCommand(command: FleetCommand): boolean {
    switch (command.type) {
      case "putConfig":
        return applyConfig(command);
      case "leave":
        return applyLeave(command);
      case "engines":
        return applyEngines(command);
      case "gateways":
        return applyGateways(command);
      case "crashes":
        return replaceCases(recordCrashes(cases, command.reports));
      case "crashesRefuted":
        return replaceCases(refuteCrashes(cases, command.reports));
      case "retryCeilings":
        return applyRetryCeilings(command);
      case "casesCleared":
        return clearCases(command.requestKeys);
    }
  }

  return {
    getAcceptedConfig: () => accepted,
    getLeave: (engineId) => leaves.get(engineId),
    getEngines: () => engines,
    getGateways: () => gateways,
    getCases: () => cases,
    getNewestIncarnations: () => newestRuns,
    getRetryCeilings: () => retryCeilings,
    apply(body) {
      const command = JSON.parse(body) as FleetCommand;
      if (applyCommand(command)) onChange(command);
    },
    save() {
      const snapshot: FleetSnapshot = {
        accepted,
        leaves: [...leaves],
        engines: [...engines.values()],
        newestRuns: [...newestRuns],
        cases: [...cases.values()],
        gateways: [...gateways.values()],
        retryCeilings: [...retryCeilings],
      };
      return JSON.stringify(snapshot);
    },
    restore(data) {
      if (data === "") return;
      const snapshot = JSON.parse(data) as FleetSnapshot;
      accepted = snapshot.accepted;
      leaves = new Map(snapshot.leaves);
      engines = new Map(
        snapshot.engines.map((record) => [record.engineId, record]),
      );
      newestRuns = new Map(snapshot.newestRuns);
      cases = new Map(
        (snapshot.cases ?? []).map((
          crashCase,
        ) => [crashCase.requestKey, crashCase]),
      );
      gateways = new Map(
        (snapshot.gateways ?? []).map((gateway) => [gateway.vm, gateway]),
      );
      retryCeilings = new Map(snapshot.retryCeilings);
    },
  };
}
