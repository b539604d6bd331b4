/**
 * Records in the replicated log which upstreams the leader knows, so that a new leader
 * starts with them.
 *
 * @module
 */

import { findMapChanges } from "../collections/index.ts";
import { type EngineRecord, isSameRecord } from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";
import type { FleetCommand } from "./create_fleet_state_machine.ts";
import { createRecorder, type Recorder } from "./create_recorder.ts";

/** Dependencies of {@link createEngineRecorder}. */
export interface CreateEngineRecorderOptions {
  readonly getKnown: () => readonly EngineRecord[];
  readonly getRecorded: () => ReadonlyMap<string, EngineRecord>;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly log: Logger;
}

/**
 * Creates the recorder.
 *
 * @param options - The known and the recorded upstreams, and how to propose a command.
 * @returns The recorder.
 * @throws Nothing.
 * @example
 * await createEngineRecorder(options).run();
 */
export function createEngineRecorder(
  options: CreateEngineRecorderOptions,
): Recorder {
  const { getKnown: getKnown, getRecorded, propose, log } = options;
  return createRecorder({
    findChange: () => findEngineChanges(getKnown(), getRecorded()),
    propose,
    onFailed: (error) => log("enginesNotRecorded", { error }),
  });
}

function findEngineChanges(
  known: readonly EngineRecord[],
  recorded: ReadonlyMap<string, EngineRecord>,
): FleetCommand | undefined {
  const byId = new Map(known.map((record) => [record.engineId, record]));
  const { changed, gone } = findMapChanges(recorded, byId, isSameRecord);
  if (changed.length + gone.length === 0) return undefined;
  return { type: "engines", changed, lost: gone };
}
