/**
 * What the log's commands are applied to: the accepted configuration and the
 * upstreams that leave.
 *
 * @module
 */

import type { LeaveKind } from "../engines/index.ts";
import type { RouteConfig } from "../routes/index.ts";

/** A command of the log. */
export type FleetCommand =
  | {
    readonly type: "putConfig";
    readonly config: RouteConfig;
    readonly document: string;
  }
  | {
    readonly type: "leave";
    readonly engineId: string;
    readonly kind: LeaveKind;
  };

/** An accepted configuration, also as the operator wrote it. */
export interface AcceptedConfig {
  readonly config: RouteConfig;
  readonly document: string;
}

/** The state machine of one control process. */
export interface FleetMachine {
  getAccepted(): AcceptedConfig | undefined;
  getLeave(engineId: string): LeaveKind | undefined;
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

/** Far more than leave in an hour; an id is never used again. */
const MAX_LEAVES = 5_000;

interface SavedMachine {
  readonly accepted?: AcceptedConfig;
  readonly leaves: readonly (readonly [string, LeaveKind])[];
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

  function takeConfig(command: FleetCommand & { type: "putConfig" }): boolean {
    const { config, document } = command;
    // The highest version holds; what comes late changes nothing.
    if (accepted && config.version <= accepted.config.version) return false;
    accepted = { config, document };
    return true;
  }

  function takeLeave(command: FleetCommand & { type: "leave" }): boolean {
    const { engineId, kind } = command;
    const known = leaves.get(engineId);
    if (known === kind || known === "gone") return false;
    leaves.set(engineId, kind);
    while (leaves.size > maxLeaves) {
      leaves.delete(leaves.keys().next().value as string);
    }
    return true;
  }

  return {
    getAccepted: () => accepted,
    getLeave: (engineId) => leaves.get(engineId),
    apply(body) {
      const command = JSON.parse(body) as FleetCommand;
      const changed = command.type === "putConfig"
        ? takeConfig(command)
        : takeLeave(command);
      if (changed) onChange(command);
    },
    save: () =>
      JSON.stringify(
        { accepted, leaves: [...leaves] } satisfies SavedMachine,
      ),
    restore(data) {
      if (data === "") return;
      const saved = JSON.parse(data) as SavedMachine;
      accepted = saved.accepted;
      leaves = new Map(saved.leaves);
    },
  };
}
