/**
 * Prints the contents of a data folder.
 *
 * @module
 */

import { access } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import type { ControlSettings } from "../settings/index.ts";
import {
  IDENTITY_FILE,
  lockDataFolder,
  readIdentity,
  readStoredState,
} from "../storage/index.ts";
import { createStateMachine } from "./state_machine.ts";

/**
 * Prints a data folder's identity, term and vote, snapshot, and log.
 *
 * @param settings - The program's settings. No other process may use the folder.
 * @param options - Receives the lines; by default, the standard output.
 * @returns Nothing.
 * @throws {StorageOwnerError | StorageDamageError} If the folder is in use, owned
 * by another VM, damaged, or not a data folder.
 * @example
 * await inspectDataFolder(settings);
 */
export async function inspectDataFolder(
  settings: ControlSettings,
  options: { write?: (line: string) => void } = {},
): Promise<void> {
  const { write = (line) => process.stdout.write(`${line}\n`) } = options;
  const { dataFolder: folder, fleetId, vm, claimWindowMs } = settings;
  // Read-only: a folder without an identity file is rejected rather than
  // initialized, and a torn tail is left for the replica to truncate.
  await access(join(folder, IDENTITY_FILE));
  await using _lock = await lockDataFolder(folder);
  const identity = await readIdentity({ folder, fleetId, vm });
  const { state } = await readStoredState(folder);
  const { hard, snapshot, log, tornBytes } = state;
  const machine = createStateMachine({ claimWindowMs });
  machine.restore(snapshot?.data ?? "");
  write(`identity ${JSON.stringify(identity)}`);
  write(`hard ${JSON.stringify(hard)}`);
  write(`snapshot ${JSON.stringify(snapshot?.meta ?? null)}`);
  write(`revision in the snapshot ${machine.getResources().revision}`);
  write(`torn tail ${tornBytes} bytes`);
  for (const { index, term, kind, body } of log) {
    write(`entry ${index} term ${term} ${kind} ${body}`);
  }
}
