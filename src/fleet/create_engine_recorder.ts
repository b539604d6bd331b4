/**
 * Records in the log which upstreams the leader knows, so that a new leader
 * begins with them.
 *
 * @module
 */

import { type EngineRecord, isSameRecord } from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";
import type { FleetCommand } from "./create_fleet_machine.ts";

/** What the recorder needs of its program. */
export interface CreateEngineRecorderOptions {
  readonly getHeard: () => readonly EngineRecord[];
  readonly getRecorded: () => ReadonlyMap<string, EngineRecord>;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  readonly log: Logger;
}

/** Records the upstreams that the leader knows. */
export interface EngineRecorder {
  /** Records what changed since the last time; for the leader only. */
  run(): Promise<void>;
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
): EngineRecorder {
  const { getHeard, getRecorded, propose, log } = options;
  let recording = false;
  return {
    async run() {
      if (recording) return;
      const command = findEngineNews(getHeard(), getRecorded());
      if (!command) return;
      recording = true;
      // What is not recorded now is news at the next look again.
      await propose(command)
        .catch((error) => log("enginesNotRecorded", { error }));
      recording = false;
    },
  };
}

function findEngineNews(
  heard: readonly EngineRecord[],
  recorded: ReadonlyMap<string, EngineRecord>,
): FleetCommand | undefined {
  const heardIds = new Set(heard.map(({ engineId }) => engineId));
  const lost = [...recorded.keys()].filter((id) => !heardIds.has(id));
  const changed = heard.filter((record) => {
    const known = recorded.get(record.engineId);
    return !known || !isSameRecord(known, record);
  });
  if (lost.length === 0 && changed.length === 0) return undefined;
  return { type: "engines", changed, lost };
}
