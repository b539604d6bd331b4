/**
 * Records in the replicated log the list of gateways that was published, so that a new
 * leader knows which ones have not connected yet. A partial list is never recorded:
 * gateways divide fleet-wide limits by the number of gateways on the list.
 *
 * @module
 */

import { findMapChanges } from "../collections/index.ts";
import type { Logger } from "../logs/index.ts";
import type { FleetCommand } from "./create_fleet_state_machine.ts";
import { createRecorder, type Recorder } from "./create_recorder.ts";
import { isSameGateway } from "./is_same_gateway.ts";
import type { GatewayRecord } from "./messages.ts";

/** Dependencies of {@link createGatewayRecorder}. */
export interface CreateGatewayRecorderOptions {
  /** The list published last, by VM; undefined before the first one. */
  readonly getPublished: () => ReadonlyMap<string, GatewayRecord> | undefined;
  readonly getRecorded: () => ReadonlyMap<string, GatewayRecord>;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly log: Logger;
}

/**
 * Creates the recorder.
 *
 * @param options - The published and the recorded gateways, and how to propose a
 * command.
 * @returns The recorder.
 * @throws Nothing.
 * @example
 * await createGatewayRecorder(options).run();
 */
export function createGatewayRecorder(
  options: CreateGatewayRecorderOptions,
): Recorder {
  const { getPublished: getPublished, getRecorded, propose, log } = options;
  return createRecorder({
    findChange: () => findGatewayChanges(getPublished(), getRecorded()),
    propose,
    onFailed: (error) => log("gatewaysNotRecorded", { error }),
  });
}

function findGatewayChanges(
  published: ReadonlyMap<string, GatewayRecord> | undefined,
  recorded: ReadonlyMap<string, GatewayRecord>,
): FleetCommand | undefined {
  if (!published) return undefined;
  const lasting = new Map(
    [...published].map(([vm, gateway]) => [vm, omitReachability(gateway)]),
  );
  const { changed, gone } = findMapChanges(recorded, lasting, isSameGateway);
  if (changed.length + gone.length === 0) return undefined;
  return { type: "gateways", changed, lost: gone };
}

// A new leader hears from each gateway itself which services it reaches.
function omitReachability(
  { vm, place, address, isReady }: GatewayRecord,
): GatewayRecord {
  return { vm, place, address, isReady };
}
