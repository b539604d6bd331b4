/**
 * Whose a data folder is.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { join } from "node:path";
import type { Member } from "../quorum/index.ts";
import { FORMAT_VERSION, IDENTITY_FILE, SNAPSHOT_FILE } from "./constants.ts";
import { readFileIfAny, replaceFile } from "./files.ts";
import { encodeFrame, scanFrames } from "./frame.ts";
import { StorageDamageError, StorageOwnerError } from "./storage_error.ts";

/** Who a data folder belongs to. */
export interface StorageIdentity {
  readonly formatVersion: number;
  readonly fleetId: string;
  readonly vm: string;
  readonly replicaId: string;
  /** Empty until the replica has formed or joined a cluster. */
  readonly clusterId: string;
}

/** How a cluster is formed. */
export interface FormOptions {
  /** Where the first replica is reached. */
  readonly address: string;
  readonly clusterId: string;
  /**
   * The first voters; by default this replica alone. Where several replicas
   * form a cluster together, all are given the same list.
   */
  readonly members?: readonly Member[];
}

/** Whose folder it is meant to be. */
export interface OpenQuorumStorageOptions {
  readonly folder: string;
  readonly fleetId: string;
  readonly vm: string;
  /** Set to form a new cluster of this replica alone in a new folder. */
  readonly form?: FormOptions;
  /**
   * Whether the folder is locked against other processes; set to false only
   * where nothing else can reach it.
   */
  readonly isLocked?: boolean;
  /** Makes the identity of a new folder; by default random. */
  readonly makeReplicaId?: (vm: string) => string;
}

/**
 * Reads the identity of a data folder, making one where it is new.
 *
 * @param options - The folder, and the fleet and VM that it must belong to.
 * @returns The identity.
 * @throws {StorageOwnerError | StorageDamageError} For another's folder, or a
 * damaged file.
 * @example
 * const identity = await readIdentity(options);
 */
export async function readIdentity(
  options: OpenQuorumStorageOptions,
): Promise<StorageIdentity> {
  const { folder, fleetId, vm, makeReplicaId: makeId = makeReplicaId } =
    options;
  const path = join(folder, IDENTITY_FILE);
  const bytes = await readFileIfAny(path);
  if (bytes === undefined) {
    const identity = {
      formatVersion: FORMAT_VERSION,
      fleetId,
      vm,
      replicaId: makeId(vm),
      clusterId: "",
    };
    await writeIdentity(folder, identity);
    return identity;
  }
  const identity = parseIdentity(bytes, path);
  for (const field of ["fleetId", "vm"] as const) {
    if (identity[field] === options[field]) continue;
    throw new StorageOwnerError(
      `Data folder ${folder} belongs to ${field} ${identity[field]}, not to ${
        options[field]
      }`,
    );
  }
  return identity;
}

function parseIdentity(bytes: Buffer, path: string): StorageIdentity {
  const { payloads, tornBytes } = scanFrames(bytes, { file: path });
  if (payloads.length !== 1 || tornBytes > 0) {
    throw new StorageDamageError(`File ${path} is damaged at offset 0`);
  }
  const identity = JSON.parse(payloads[0]) as StorageIdentity;
  if (identity.formatVersion !== FORMAT_VERSION) {
    throw new StorageOwnerError(
      `File ${path} has format version ${identity.formatVersion}, this program writes ${FORMAT_VERSION}`,
    );
  }
  return identity;
}

/**
 * Writes the identity of a data folder.
 *
 * @param folder - The folder.
 * @param identity - The identity.
 * @returns Nothing.
 * @throws {Error} Where the disk refuses.
 * @example
 * await writeIdentity(folder, identity);
 */
export async function writeIdentity(
  folder: string,
  identity: StorageIdentity,
): Promise<void> {
  const bytes = encodeFrame(JSON.stringify(identity));
  await replaceFile(join(folder, IDENTITY_FILE), bytes);
}

/**
 * Makes the id of a replica that starts with nothing.
 *
 * @param vm - The VM on which it runs.
 * @returns An id that no other replica has.
 * @throws Nothing.
 * @example
 * makeReplicaId("vm-1"); // "vm-1.9f0c2a417b3e"
 */
export function makeReplicaId(vm: string): string {
  return `${vm}.${randomBytes(6).toString("hex")}`;
}

/**
 * Makes a new folder the first of a cluster of its own.
 *
 * The snapshot goes first: a folder without a cluster's id forms it again.
 *
 * @param identity - The folder's identity, without a cluster.
 * @param options - The folder, and how the cluster is formed.
 * @returns The identity with its cluster.
 * @throws {Error} Where the disk refuses.
 * @example
 * const formed = await formCluster(identity, { folder, form });
 */
export async function formCluster(
  identity: StorageIdentity,
  options: { folder: string; form: FormOptions },
): Promise<StorageIdentity> {
  const { folder, form } = options;
  const { replicaId: id, vm } = identity;
  const self: Member = { id, vm, address: form.address, role: "voter" };
  const members = form.members ?? [self];
  const meta = { index: 0, term: 0, members };
  const frames = [encodeFrame(JSON.stringify(meta)), encodeFrame("")];
  await replaceFile(join(folder, SNAPSHOT_FILE), Buffer.concat(frames));
  const formed = { ...identity, clusterId: form.clusterId };
  await writeIdentity(folder, formed);
  return formed;
}
