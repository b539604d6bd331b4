/**
 * The identity of a data folder: the replica that it belongs to.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { join } from "node:path";
import type { Member } from "../quorum/index.ts";
import { FORMAT_VERSION, IDENTITY_FILE, SNAPSHOT_FILE } from "./constants.ts";
import { readFileIfExists, replaceFile } from "./files.ts";
import { encodeFrame, scanFrames } from "./frame.ts";
import { StorageDamageError, StorageOwnerError } from "./storage_error.ts";

/** The fleet, VM, replica and cluster that a data folder belongs to. */
export interface StorageIdentity {
  readonly formatVersion: number;
  readonly fleetId: string;
  readonly vm: string;
  readonly replicaId: string;
  /** Empty until the replica has formed or joined a cluster. */
  readonly clusterId: string;
  /**
   * Whether this identity replaces that of a damaged folder. The replica has been a
   * member before, so that its empty state doesn't show that there is no cluster.
   */
  readonly isReplacement?: boolean;
  /** Subfolder that the files of the damaged state are being moved to. */
  readonly damagedFolder?: string;
}

/** Options for forming a new cluster. */
export interface FormOptions {
  /** Address of this replica. */
  readonly address: string;
  readonly clusterId: string;
  /**
   * The initial members; by default this replica as the only voter. If several
   * replicas form a cluster together, all must be given the same list.
   */
  readonly members?: readonly Member[];
}

/** The data folder, and the fleet and VM that it must belong to. */
export interface OpenQuorumStorageOptions {
  readonly folder: string;
  readonly fleetId: string;
  readonly vm: string;
  /** Set to form a new cluster if the folder belongs to none yet. */
  readonly form?: FormOptions;
  /**
   * Whether to lock the folder against other processes, as by default. Set to
   * false only if no other process can open the folder.
   */
  readonly isLocked?: boolean;
  /** Generates the replica id for a new folder; by default a random one. */
  readonly makeReplicaId?: (vm: string) => string;
}

/**
 * Reads the identity of a data folder, or writes one to a new folder.
 *
 * @param options - The folder, and the fleet and VM that it must belong to.
 * @returns The identity.
 * @throws {StorageOwnerError | StorageDamageError} If the folder belongs to
 * another fleet or VM, or the file is corrupt.
 * @example
 * const identity = await readIdentity(options);
 */
export async function readIdentity(
  options: OpenQuorumStorageOptions,
): Promise<StorageIdentity> {
  const { folder, fleetId, vm, makeReplicaId: makeId = makeReplicaId } =
    options;
  const path = join(folder, IDENTITY_FILE);
  const bytes = await readFileIfExists(path);
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
      `File ${path} has format version ${identity.formatVersion}, but this program supports only version ${FORMAT_VERSION}`,
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
 * @throws {Error} If a file operation fails.
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
 * Generates the id of a new replica.
 *
 * @param vm - The VM on which the replica runs.
 * @returns A unique id: the VM and a random suffix.
 * @throws Nothing.
 * @example
 * makeReplicaId("vm-1"); // "vm-1.9f0c2a417b3e"
 */
export function makeReplicaId(vm: string): string {
  return `${vm}.${randomBytes(6).toString("hex")}`;
}

/**
 * Forms a new cluster in a data folder.
 *
 * The snapshot is written before the identity: if the process crashes in
 * between, the identity has no cluster id yet and the next start forms the
 * cluster again.
 *
 * @param identity - The folder's identity, without a cluster id.
 * @param options - The folder, and the options of the new cluster.
 * @returns The identity with the cluster id.
 * @throws {Error} If a file operation fails.
 * @example
 * const formed = await formCluster(identity, { folder, form });
 */
export async function formCluster(
  identity: StorageIdentity,
  options: {
    readonly folder: string;
    readonly form: FormOptions;
    /**
     * Generates the replica's id in the cluster; by default it keeps the one that it
     * has. Without a cluster it has not voted or stored anything under that one.
     */
    readonly makeReplicaId?: (vm: string) => string;
  },
): Promise<StorageIdentity> {
  const { folder, form } = options;
  const { vm } = identity;
  const id = options.makeReplicaId?.(vm) ?? identity.replicaId;
  const self: Member = { id, vm, address: form.address, role: "voter" };
  const members = form.members ?? [self];
  const meta = { index: 0, term: 0, members };
  const frames = [encodeFrame(JSON.stringify(meta)), encodeFrame("")];
  await replaceFile(join(folder, SNAPSHOT_FILE), Buffer.concat(frames));
  const formed = { ...identity, replicaId: id, clusterId: form.clusterId };
  await writeIdentity(folder, formed);
  return formed;
}
