/**
 * Records in the log what the leader knows, so that a new leader begins with it.
 *
 * @module
 */

import type { FleetCommand } from "./create_fleet_machine.ts";

/** What a recorder needs of its program. */
export interface CreateRecorderOptions {
  /** The command that records what has changed; undefined where nothing has. */
  readonly findNews: () => FleetCommand | undefined;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  /** Called when the command could not be recorded. */
  readonly onFailed: (error: unknown) => void;
}

/** Records what the leader knows. */
export interface Recorder {
  /** Records what changed since the last time; for the leader only. */
  run(): Promise<void>;
}

/**
 * Makes the recorder. One command is under way at a time; what changes meanwhile
 * is found by the next run.
 *
 * @param options - What has changed, how it gets into the log.
 * @returns The recorder.
 * @throws Nothing.
 * @example
 * await createRecorder({ findNews, propose, onFailed }).run();
 */
export function createRecorder(options: CreateRecorderOptions): Recorder {
  let isRecording = false;
  return {
    async run() {
      if (isRecording) return;
      const command = options.findNews();
      if (!command) return;
      isRecording = true;
      await options.propose(command).catch(options.onFailed);
      isRecording = false;
    },
  };
}
