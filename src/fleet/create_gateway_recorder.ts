/**
 * Records in the log the list of gateways that all were told, so that a new leader
 * knows whom it has not heard of yet. A part of a list is never recorded: gateways
 * divide bounds among as many as they are told.
 *
 * @module
 */

import { findMapChanges } from "../collections/index.ts";
import type { Logger } from "../logs/index.ts";
import type { FleetCommand } from "./create_fleet_machine.ts";
import { createRecorder, type Recorder } from "./create_recorder.ts";
import { isSameGateway } from "./is_same_gateway.ts";
import type { GatewayRecord } from "./messages.ts";

/** What the recorder needs of its program. */
export interface CreateGatewayRecorderOptions {
  /** The list that all were told, by VM; undefined before the first time. */
  readonly getTold: () => ReadonlyMap<string, GatewayRecord> | undefined;
  readonly getRecorded: () => ReadonlyMap<string, GatewayRecord>;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly log: Logger;
}

/**
 * Makes the recorder.
 *
 * @param options - What was told, what is recorded, how it gets there.
 * @returns The recorder.
 * @throws Nothing.
 * @example
 * await createGatewayRecorder(options).run();
 */
export function createGatewayRecorder(
  options: CreateGatewayRecorderOptions,
): Recorder {
  const { getTold, getRecorded, propose, log } = options;
  return createRecorder({
    findNews: () => findGatewayNews(getTold(), getRecorded()),
    propose,
    onFailed: (error) => log("gatewaysNotRecorded", { error }),
  });
}

function findGatewayNews(
  told: ReadonlyMap<string, GatewayRecord> | undefined,
  recorded: ReadonlyMap<string, GatewayRecord>,
): FleetCommand | undefined {
  if (!told) return undefined;
  const { changed, gone } = findMapChanges(recorded, told, isSameGateway);
  if (changed.length + gone.length === 0) return undefined;
  return { type: "gateways", changed, lost: gone };
}
