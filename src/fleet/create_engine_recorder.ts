/**
 * Records in the log which upstreams the leader knows, so that a new leader
 * begins with them.
 *
 * @module
 */

import { findMapChanges } from "../collections/index.ts";
import { type EngineRecord, isSameRecord } from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";
import type { FleetCommand } from "./create_fleet_machine.ts";
import { createRecorder, type Recorder } from "./create_recorder.ts";

/** What the recorder needs of its program. */
export interface CreateEngineRecorderOptions {
  readonly getHeard: () => readonly EngineRecord[];
  readonly getRecorded: () => ReadonlyMap<string, EngineRecord>;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly log: Logger;
}

/**
 * Makes the recorder.
 *
 * @param options - What was heard, what is recorded, how it gets there.
 * @returns The recorder.
 * @throws Nothing.
 * @example
 * await createEngineRecorder(options).run();
 */
export function createEngineRecorder(
  options: CreateEngineRecorderOptions,
): Recorder {
  const { getHeard, getRecorded, propose, log } = options;
  return createRecorder({
    findNews: () => findEngineNews(getHeard(), getRecorded()),
    propose,
    onFailed: (error) => log("enginesNotRecorded", { error }),
  });
}

function findEngineNews(
  heard: readonly EngineRecord[],
  recorded: ReadonlyMap<string, EngineRecord>,
): FleetCommand | undefined {
  const byId = new Map(heard.map((record) => [record.engineId, record]));
  const { changed, gone } = findMapChanges(recorded, byId, isSameRecord);
  if (changed.length + gone.length === 0) return undefined;
  return { type: "engines", changed, lost: gone };
}
