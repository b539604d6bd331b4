/**
 * Records the leader's in-memory state in the replicated log, so that a new leader
 * starts with it.
 *
 * @module
 */

import type { FleetCommand } from "./create_fleet_state_machine.ts";

/** Dependencies of {@link createRecorder}. */
export interface CreateRecorderOptions {
  /** Returns the command that records the changes; undefined if there are none. */
  readonly findChange: () => FleetCommand | undefined;
  /** Resolves once the command is committed and applied. */
  readonly propose: (command: FleetCommand) => Promise<unknown>;
  /** Called when a command could not be committed. */
  readonly onFailed: (error: unknown) => void;
}

/** Records the leader's state in the replicated log. */
export interface Recorder {
  /** Records the changes since the last record; for the leader only. */
  run(): Promise<void>;
}

/**
 * Creates the recorder. One command is in flight at a time; changes in the meantime
 * are found by the next run.
 *
 * @param options - How changes are found and proposed.
 * @returns The recorder.
 * @throws Nothing.
 * @example
 * await createRecorder({ findChange, propose, onFailed }).run();
 */
export function createRecorder(options: CreateRecorderOptions): Recorder {
  let isRecording = false;
  return {
    async run() {
      if (isRecording) return;
      const command = options.findChange();
      if (!command) return;
      isRecording = true;
      await options.propose(command).catch(options.onFailed);
      isRecording = false;
    },
  };
}
