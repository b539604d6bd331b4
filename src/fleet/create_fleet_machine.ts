/**
 * What the log's commands are applied to: the accepted configuration, the
 * upstreams that leave, and those that were last heard of.
 *
 * @module
 */

import { forgetOldest } from "../collections/index.ts";
import {
  type EngineRecord,
  type LeaveKind,
  type NewestRun,
  type NewestRuns,
  noteRun,
} from "../engines/index.ts";
import {
  type CrashCase,
  type CrashCases,
  type JudgedReport,
  takeCrashes,
} from "../quarantine/index.ts";
import type { GatewayRecord } from "./messages.ts";

/** A command of the log. */
export type FleetCommand =
  | {
    readonly type: "putConfig";
    readonly version: number;
    /** The configuration as the operator wrote it, packed. */
    readonly packed: string;
  }
  | {
    readonly type: "leave";
    /** A run, or an upstream of which no run was known. */
    readonly engineId: string;
    readonly kind: LeaveKind;
    /** Upstream whose leave was recorded before its run was known. */
    readonly name?: string;
  }
  | {
    readonly type: "engines";
    /** Upstreams that are new or changed. */
    readonly changed: readonly EngineRecord[];
    /** Upstreams that are no longer counted on. */
    readonly lost: readonly string[];
  }
  | {
    readonly type: "gateways";
    /** Gateways that are new or changed. */
    readonly changed: readonly GatewayRecord[];
    /** VMs whose gateways are no longer counted on. */
    readonly lost: readonly string[];
  }
  | {
    /** Upstreams that ended when they had just begun a request. */
    readonly type: "crashes";
    readonly reports: readonly JudgedReport[];
  }
  | {
    /** Requests that nothing speaks against any more. */
    readonly type: "casesCleared";
    readonly requestKeys: readonly string[];
  };

/** An accepted configuration. */
export interface AcceptedConfig {
  readonly version: number;
  /** As the operator wrote it, packed. */
  readonly packed: string;
}

/** The state machine of one control process. */
export interface FleetMachine {
  getAccepted(): AcceptedConfig | undefined;
  getLeave(engineId: string): LeaveKind | undefined;
  /**
   * Upstreams as the newest leader heard of them: what a new one begins with,
   * so that a restart of all processes needs no beat before it serves.
   */
  getEngines(): ReadonlyMap<string, EngineRecord>;
  /** Gateways that the newest leader counted on. */
  getGateways(): ReadonlyMap<string, GatewayRecord>;
  /** Requests that are suspected of ending upstreams. */
  getCases(): CrashCases;
  /** Newest runs of upstreams, also of those that are gone. */
  getNewestRuns(): NewestRuns;
  apply(body: string): void;
  save(): string;
  restore(data: string): void;
}

/** Options of {@link createFleetMachine}. */
export interface CreateFleetMachineOptions {
  /** Called once for each command that changed something. */
  readonly onChange?: (command: FleetCommand) => void;
  /** Upstreams whose leave is remembered; the oldest are forgotten first. */
  readonly maxLeaves?: number;
}

/** Far more than leave in an hour; a run's id is never used again. */
const MAX_LEAVES = 5_000;

interface SavedMachine {
  readonly accepted?: AcceptedConfig;
  readonly leaves: readonly (readonly [string, LeaveKind])[];
  readonly engines: readonly EngineRecord[];
  /** Absent in snapshots of earlier versions, as the cases are. */
  readonly newestRuns?: readonly (readonly [string, NewestRun])[];
  readonly cases?: readonly CrashCase[];
  readonly gateways?: readonly GatewayRecord[];
}

/**
 * Makes the state machine, empty.
 *
 * @param options - Who hears of changes.
 * @returns The state machine.
 * @throws Nothing.
 * @example
 * const machine = createFleetMachine({ onChange });
 */
export function createFleetMachine(
  options: CreateFleetMachineOptions = {},
): FleetMachine {
  const { onChange = () => {}, maxLeaves = MAX_LEAVES } = options;
  let accepted: AcceptedConfig | undefined;
  let leaves = new Map<string, LeaveKind>();
  let engines = new Map<string, EngineRecord>();
  let newestRuns: NewestRuns = new Map();
  let cases: CrashCases = new Map();
  let gateways = new Map<string, GatewayRecord>();

  function takeConfig(command: FleetCommand & { type: "putConfig" }): boolean {
    const { version, packed } = command;
    // The highest version holds; what comes late changes nothing.
    if (accepted && version <= accepted.version) return false;
    accepted = { version, packed };
    return true;
  }

  function takeLeave(command: FleetCommand & { type: "leave" }): boolean {
    const { engineId, kind, name } = command;
    if (name !== undefined) leaves.delete(name);
    const known = leaves.get(engineId);
    if (known === kind || known === "gone") return false;
    leaves.set(engineId, kind);
    forgetOldest(leaves, maxLeaves);
    return true;
  }

  function takeEngines(command: FleetCommand & { type: "engines" }): boolean {
    for (const engineId of command.lost) engines.delete(engineId);
    for (const record of command.changed) engines.set(record.engineId, record);
    newestRuns = command.changed.reduce(noteRun, newestRuns);
    return true;
  }

  function takeGateways(command: FleetCommand & { type: "gateways" }): boolean {
    for (const vm of command.lost) gateways.delete(vm);
    for (const gateway of command.changed) gateways.set(gateway.vm, gateway);
    return true;
  }

  function putCases(next: CrashCases): boolean {
    const isNews = next !== cases;
    cases = next;
    return isNews;
  }

  function clearCases(requestKeys: readonly string[]): boolean {
    const left = [...cases].filter(([key]) => !requestKeys.includes(key));
    return left.length < cases.size && putCases(new Map(left));
  }

  function take(command: FleetCommand): boolean {
    switch (command.type) {
      case "putConfig":
        return takeConfig(command);
      case "leave":
        return takeLeave(command);
      case "engines":
        return takeEngines(command);
      case "gateways":
        return takeGateways(command);
      case "crashes":
        return putCases(takeCrashes(cases, command.reports));
      case "casesCleared":
        return clearCases(command.requestKeys);
    }
  }

  return {
    getAccepted: () => accepted,
    getLeave: (engineId) => leaves.get(engineId),
    getEngines: () => engines,
    getGateways: () => gateways,
    getCases: () => cases,
    getNewestRuns: () => newestRuns,
    apply(body) {
      const command = JSON.parse(body) as FleetCommand;
      if (take(command)) onChange(command);
    },
    save() {
      const saved: SavedMachine = {
        accepted,
        leaves: [...leaves],
        engines: [...engines.values()],
        newestRuns: [...newestRuns],
        cases: [...cases.values()],
        gateways: [...gateways.values()],
      };
      return JSON.stringify(saved);
    },
    restore(data) {
      if (data === "") return;
      const saved = JSON.parse(data) as SavedMachine;
      accepted = saved.accepted;
      leaves = new Map(saved.leaves);
      engines = new Map(
        saved.engines.map((record) => [record.engineId, record]),
      );
      newestRuns = new Map(saved.newestRuns);
      cases = new Map(
        (saved.cases ?? []).map((one) => [one.requestKey, one]),
      );
      gateways = new Map(
        (saved.gateways ?? []).map((gateway) => [gateway.vm, gateway]),
      );
    },
  };
}
