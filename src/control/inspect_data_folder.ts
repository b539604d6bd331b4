/**
 * Prints what a data folder holds.
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
  readStored,
} from "../storage/index.ts";
import { createStateMachine } from "./state_machine.ts";

/**
 * Prints a data folder: identity, term and vote, snapshot, log, resources.
 *
 * @param settings - The program's settings; nothing else may use the folder.
 * @param options - Where lines go; by default the standard output.
 * @returns Nothing.
 * @throws {StorageOwnerError | StorageDamageError} When it is refused, or no
 * data folder.
 * @example
 * await inspectDataFolder(settings);
 */
export async function inspectDataFolder(
  settings: ControlSettings,
  options: { write?: (line: string) => void } = {},
): Promise<void> {
  const { write = (line) => process.stdout.write(`${line}\n`) } = options;
  const { dataFolder: folder, fleetId, vm, claimWindowMs } = settings;
  // Nothing is written: a folder without an identity is none, and a torn tail
  // is left for the replica to cut.
  await access(join(folder, IDENTITY_FILE));
  await using _lock = await lockDataFolder(folder);
  const identity = await readIdentity({ folder, fleetId, vm });
  const { state } = await readStored(folder);
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
