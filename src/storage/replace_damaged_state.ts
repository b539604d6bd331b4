/**
 * Replaces the damaged state of a replica by an empty one under a new identity.
 *
 * @module
 */

import { mkdir, readdir, rename } from "node:fs/promises";
import { join } from "node:path";
import { FORMAT_VERSION, IDENTITY_FILE } from "./constants.ts";
import { readFileIfExists, replaceFile, syncFolder } from "./files.ts";
import {
  makeReplicaId,
  type OpenQuorumStorageOptions,
  type StorageIdentity,
  writeIdentity,
} from "./identity.ts";

/** The snapshot and the logs, also those whose replacement was interrupted. */
const STATE_FILE = /^(snapshot|log-\d+)(\.new)?$/;

/** Prefix of the folders with damaged files, followed by a number. */
const DAMAGED_PREFIX = "damaged-";

/**
 * Replaces the damaged state of a replica by an empty one under a new identity, so that
 * it can join its cluster like a replica whose disk was lost. The damaged files and the
 * old identity are kept in a subfolder.
 *
 * The new identity is durable before the first file is moved. A start after a crash thus
 * finds either the old identity with all of its files, or the new one, which has
 * acknowledged nothing; {@link moveDamagedFiles} then completes the replacement.
 *
 * @param options - The folder, and the fleet and VM that it belongs to. No other process
 * may use it.
 * @returns The path of the subfolder.
 * @throws {Error} If a file operation fails.
 * @example
 * const movedTo = await replaceDamagedState({ folder, fleetId, vm });
 */
export async function replaceDamagedState(
  options: Pick<OpenQuorumStorageOptions, "folder" | "fleetId" | "vm">,
): Promise<string> {
  const { folder, fleetId, vm } = options;
  const damagedFolder = await makeDamagedFolder(folder);
  const path = join(folder, damagedFolder);
  const old = await readFileIfExists(join(folder, IDENTITY_FILE));
  if (old) await replaceFile(join(path, IDENTITY_FILE), old);
  const identity: StorageIdentity = {
    formatVersion: FORMAT_VERSION,
    fleetId,
    vm,
    replicaId: makeReplicaId(vm),
    clusterId: "",
    isReplacement: true,
    damagedFolder,
  };
  await writeIdentity(folder, identity);
  await moveDamagedFiles(identity, { folder });
  return path;
}

/**
 * Moves the files of a damaged state into the subfolder that the identity names, if it
 * names one, and removes the name from the identity.
 *
 * @param identity - The identity of the data folder.
 * @param options - The data folder.
 * @returns The identity without a subfolder.
 * @throws {Error} If a file operation fails.
 * @example
 * identity = await moveDamagedFiles(identity, { folder });
 */
export async function moveDamagedFiles(
  identity: StorageIdentity,
  options: { readonly folder: string },
): Promise<StorageIdentity> {
  const { folder } = options;
  const { damagedFolder, ...rest } = identity;
  if (damagedFolder === undefined) return identity;
  const target = join(folder, damagedFolder);
  await mkdir(target, { recursive: true });
  const names = await readdir(folder);
  for (const name of names.filter((name) => STATE_FILE.test(name))) {
    await rename(join(folder, name), join(target, name));
    await syncFolder(target);
    await syncFolder(folder);
  }
  await writeIdentity(folder, rest);
  return rest;
}

/** Creates a new subfolder: an earlier one may hold the only copy of some state. */
async function makeDamagedFolder(folder: string): Promise<string> {
  const names = new Set(await readdir(folder));
  let number = 1;
  while (names.has(DAMAGED_PREFIX + number)) number += 1;
  await mkdir(join(folder, DAMAGED_PREFIX + number));
  await syncFolder(folder);
  return DAMAGED_PREFIX + number;
}
