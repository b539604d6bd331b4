/**
 * Records in the log which gateways the leader counts on, so that a new leader
 * knows whom it has not heard of yet.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { FleetCommand } from "./create_fleet_machine.ts";
import { createRecorder, type Recorder } from "./create_recorder.ts";
import { type GatewayRecord, isSameGateway } from "./messages.ts";

/** What the recorder needs of its program. */
export interface CreateGatewayRecorderOptions {
  /** Gateways that the leader counts on. */
  readonly getCounted: () => readonly GatewayRecord[];
  readonly getRecorded: () => ReadonlyMap<string, GatewayRecord>;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly log: Logger;
}

/**
 * Makes the recorder.
 *
 * @param options - Who is counted on, who is recorded, how it gets there.
 * @returns The recorder.
 * @throws Nothing.
 * @example
 * await createGatewayRecorder(options).run();
 */
export function createGatewayRecorder(
  options: CreateGatewayRecorderOptions,
): Recorder {
  const { getCounted, getRecorded, propose, log } = options;
  return createRecorder({
    findNews: () => findGatewayNews(getCounted(), getRecorded()),
    propose,
    onFailed: (error) => log("gatewaysNotRecorded", { error }),
  });
}

function findGatewayNews(
  counted: readonly GatewayRecord[],
  recorded: ReadonlyMap<string, GatewayRecord>,
): FleetCommand | undefined {
  const countedVms = new Set(counted.map(({ vm }) => vm));
  const lost = [...recorded.keys()].filter((vm) => !countedVms.has(vm));
  const changed = counted.filter((record) => {
    const known = recorded.get(record.vm);
    return !known || !isSameGateway(known, record);
  });
  if (lost.length === 0 && changed.length === 0) return undefined;
  return { type: "gateways", changed, lost };
}
