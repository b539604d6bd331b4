/**
 * Durable storage of one replica: identity, log and snapshot.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { type FileHandle, open, rm } from "node:fs/promises";
import { join } from "node:path";
import type { HardState, LogEntry } from "../quorum/index.ts";
import { LOG_PREFIX, SNAPSHOT_FILE } from "./constants.ts";
import { makeFolder, replaceFile, syncFolder } from "./files.ts";
import { encodeFrame } from "./frame.ts";
import {
  formCluster,
  type OpenQuorumStorageOptions,
  readIdentity,
  type StorageIdentity,
  writeIdentity,
} from "./identity.ts";
import { lockDataFolder } from "./lock_data_folder.ts";
import {
  type LogRecord,
  readSnapshotFile,
  readStoredState,
  replaceTail,
  type StoredSnapshot,
  type StoredState,
} from "./read_stored_state.ts";
import { moveDamagedFiles } from "./replace_damaged_state.ts";

/** The open storage of a replica. */
export interface QuorumStorage extends AsyncDisposable {
  readonly identity: StorageIdentity;
  readonly stored: StoredState;
  /** Size of the log file, in bytes. */
  getLogBytes(): number;
  /** Appends records to the log; they are durable once the promise resolves. */
  append(records: readonly PersistRecord[]): Promise<void>;
  /** Writes a snapshot, then a new log with only the entries that follow it. */
  saveSnapshot(options: SaveSnapshotOptions): Promise<void>;
  readSnapshot(): Promise<StoredSnapshot | undefined>;
  /** Persists the cluster id once the replica has joined a cluster. */
  setClusterId(clusterId: string): Promise<void>;
}

/** A term and a vote, with the log entries to write along with them. */
export interface PersistRecord {
  readonly hard: HardState;
  readonly entries: readonly LogEntry[];
}

/** A snapshot, and the log that follows it. */
export interface SaveSnapshotOptions {
  readonly snapshot: StoredSnapshot;
  readonly hard: HardState;
  /** Log entries that follow the snapshot. */
  readonly entries: readonly LogEntry[];
}

/**
 * Opens a data folder, creating it if necessary.
 *
 * @param options - The folder, and the fleet and VM that it must belong to.
 * @returns The storage with its stored state; disposing of it closes the files.
 * @throws {StorageOwnerError} If the folder belongs to another VM or fleet, or
 * is in use.
 * @throws {StorageDamageError} If a file is corrupt other than by a torn tail.
 * @example
 * await using storage = await openQuorumStorage({
 *   folder: "data",
 *   fleetId: "fleet-1",
 *   vm: "vm-1",
 * });
 */
export async function openQuorumStorage(
  options: OpenQuorumStorageOptions,
): Promise<QuorumStorage> {
  const { folder } = options;
  await makeFolder(folder);
  const lock = options.isLocked === false
    ? { async [Symbol.asyncDispose]() {} }
    : await lockDataFolder(folder);
  try {
    return await openLocked(options, lock);
  } catch (error) {
    await lock[Symbol.asyncDispose]();
    throw error;
  }
}

async function openLocked(
  options: OpenQuorumStorageOptions,
  lock: AsyncDisposable,
): Promise<QuorumStorage> {
  const { folder, form, makeReplicaId } = options;
  let identity = await readIdentity(options);
  identity = await moveDamagedFiles(identity, { folder });
  if (form && identity.clusterId === "" && !identity.isReplacement) {
    identity = await formCluster(identity, { folder, form, makeReplicaId });
  }
  const stored = await readStoredState(folder);
  const state = identity.clusterId === ""
    ? withoutFormation(stored.state)
    : stored.state;
  let sequence = stored.sequence;
  let log = await openLog(folder, sequence, stored.validBytes);

  async function append(records: readonly PersistRecord[]): Promise<void> {
    if (records.length === 0) return;
    await log.write(encodeFrame(encodeRecord(mergeRecords(records))));
  }

  async function saveSnapshot(save: SaveSnapshotOptions): Promise<void> {
    const { meta, data } = save.snapshot;
    const frames = [encodeFrame(JSON.stringify(meta)), encodeFrame(data)];
    await replaceFile(join(folder, SNAPSHOT_FILE), Buffer.concat(frames));
    const record = { hard: save.hard, entries: save.entries };
    const path = join(folder, LOG_PREFIX + (sequence + 1));
    const bytes = encodeFrame(encodeRecord(record));
    await replaceFile(path, bytes);
    await log.close();
    await rm(join(folder, LOG_PREFIX + sequence), { force: true });
    sequence += 1;
    log = await openLog(folder, sequence, bytes.length);
  }

  async function setClusterId(clusterId: string): Promise<void> {
    const joined = { ...identity, clusterId };
    await writeIdentity(folder, joined);
    identity = joined;
  }

  return {
    get identity() {
      return identity;
    },
    stored: state,
    getLogBytes: () => log.getSizeBytes(),
    append,
    saveSnapshot,
    readSnapshot: () => readSnapshotFile(folder),
    setClusterId,
    async [Symbol.asyncDispose]() {
      await log.close();
      await lock[Symbol.asyncDispose]();
    },
  };
}

/**
 * Leaves out the initial members of a cluster whose formation a crash has interrupted:
 * the replica may also join another one, or form one with other members.
 */
function withoutFormation(state: StoredState): StoredState {
  const isUnused = state.hard.term === 0 && state.log.length === 0;
  return isUnused ? { ...state, snapshot: undefined } : state;
}

/**
 * Merges records that share a write. After a loss of power a later frame of a write can
 * be there without an earlier one, which would look like damage.
 */
function mergeRecords(records: readonly PersistRecord[]): PersistRecord {
  const { hard } = records[records.length - 1];
  const entries: LogEntry[] = [];
  for (const record of records) replaceTail(entries, record.entries);
  return { hard, entries };
}

function encodeRecord(record: PersistRecord): string {
  const { hard, entries } = record;
  const value: LogRecord = entries.length === 0
    ? { kind: "hard", hard }
    : { kind: "batch", hard, entries };
  return JSON.stringify(value);
}

interface OpenLog {
  write(bytes: Buffer): Promise<void>;
  close(): Promise<void>;
  getSizeBytes(): number;
}

async function openLog(
  folder: string,
  sequence: number,
  sizeBytes: number,
): Promise<OpenLog> {
  const path = join(folder, LOG_PREFIX + sequence);
  const isNew = sizeBytes === 0;
  // Not for appending: Linux then ignores the position of a write.
  const handle = await open(path, isNew ? "w+" : "r+");
  try {
    await handle.truncate(sizeBytes);
    await handle.sync();
    if (isNew) await syncFolder(folder);
  } catch (error) {
    await handle.close();
    throw error;
  }
  let endBytes = sizeBytes;
  let hasRemains = false;

  // Synced as well: a loss of power could otherwise bring the remains back behind
  // a later write.
  async function cutRemains(): Promise<void> {
    await handle.truncate(endBytes);
    await handle.datasync();
    hasRemains = false;
  }

  return {
    async write(bytes) {
      if (hasRemains) await cutRemains();
      hasRemains = true;
      await writeAt(handle, bytes, endBytes);
      await handle.datasync();
      hasRemains = false;
      endBytes += bytes.length;
    },
    close: () => handle.close(),
    getSizeBytes: () => endBytes,
  };
}

async function writeAt(
  handle: FileHandle,
  bytes: Buffer,
  position: number,
): Promise<void> {
  let written = 0;
  while (written < bytes.length) {
    const left = bytes.length - written;
    const at = position + written;
    const result = await handle.write(bytes, written, left, at);
    written += result.bytesWritten;
  }
}
