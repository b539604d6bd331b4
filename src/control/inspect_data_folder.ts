/**
 * Prints what a data folder holds.
 *
 * @module
 */

import process from "node:process";
import type { ControlSettings } from "../settings/index.ts";
import { openQuorumStorage } from "../storage/index.ts";
import { createStateMachine } from "./state_machine.ts";

/**
 * Prints a data folder: identity, term and vote, snapshot, log, resources.
 *
 * @param settings - The program's settings; nothing else may use the folder.
 * @param options - Where lines go; by default the standard output.
 * @returns Nothing.
 * @throws {StorageOwnerError | StorageDamageError} When it is refused.
 * @example
 * await inspectDataFolder(settings);
 */
export async function inspectDataFolder(
  settings: ControlSettings,
  options: { write?: (line: string) => void } = {},
): Promise<void> {
  const { write = (line) => process.stdout.write(`${line}\n`) } = options;
  const { dataFolder: folder, fleetId, vm, claimWindowMs } = settings;
  await using storage = await openQuorumStorage({ folder, fleetId, vm });
  const { hard, snapshot, log, tornBytes } = storage.stored;
  const machine = createStateMachine({ claimWindowMs });
  machine.restore(snapshot?.data ?? "");
  write(`identity ${JSON.stringify(storage.identity)}`);
  write(`hard ${JSON.stringify(hard)}`);
  write(`snapshot ${JSON.stringify(snapshot?.meta ?? null)}`);
  write(`revision in the snapshot ${machine.getResources().revision}`);
  write(`torn tail ${tornBytes} bytes`);
  for (const { index, term, kind, body } of log) {
    write(`entry ${index} term ${term} ${kind} ${body}`);
  }
}
