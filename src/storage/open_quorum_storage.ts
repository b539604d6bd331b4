/**
 * The durable state of one replica: its identity, log and snapshot.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
} from "node:fs/promises";
import { join } from "node:path";
import type { HardState, LogEntry, SnapshotMeta } from "../quorum/index.ts";
import { FORMAT_VERSION } from "./constants.ts";
import { encodeFrame, scanFrames } from "./frame.ts";
import { lockDataFolder } from "./lock_data_folder.ts";
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

/** A snapshot and what it stands for. */
export interface StoredSnapshot {
  readonly meta: SnapshotMeta;
  readonly data: string;
}

/** What a data folder held at start. */
export interface StoredState {
  readonly hard: HardState;
  readonly snapshot: StoredSnapshot | undefined;
  readonly log: readonly LogEntry[];
  /** Bytes of a torn tail that were cut off the log. */
  readonly tornBytes: number;
}

/** One record of the log file. */
type LogRecord =
  | { readonly kind: "hard"; readonly hard: HardState }
  | {
    readonly kind: "batch";
    readonly hard: HardState;
    readonly entries: readonly LogEntry[];
  };

/** The open storage of a replica. */
export interface QuorumStorage extends AsyncDisposable {
  readonly identity: StorageIdentity;
  readonly stored: StoredState;
  /** Bytes of the log file. */
  getLogBytes(): number;
  /** Writes records and syncs them; nothing counts before it returns. */
  append(records: readonly PersistRecord[]): Promise<void>;
  /** Writes a snapshot, then a new log that holds only what follows it. */
  saveSnapshot(options: SaveSnapshotOptions): Promise<void>;
  /** Reads the newest snapshot. */
  readSnapshot(): Promise<StoredSnapshot | undefined>;
  /** Sets the cluster's id once it is known. */
  setClusterId(clusterId: string): Promise<void>;
}

/** A term, a vote and the entries to write with them. */
export interface PersistRecord {
  readonly hard: HardState;
  readonly entries: readonly LogEntry[];
}

/** A snapshot and the log that remains after it. */
export interface SaveSnapshotOptions {
  readonly snapshot: StoredSnapshot;
  readonly hard: HardState;
  /** Entries that follow the snapshot. */
  readonly entries: readonly LogEntry[];
}

/** How a cluster is formed. */
export interface FormOptions {
  /** Where the first replica is reached. */
  readonly address: string;
  readonly clusterId: string;
}

/** Whose folder it is meant to be. */
export interface OpenQuorumStorageOptions {
  readonly folder: string;
  readonly fleetId: string;
  readonly vm: string;
  /** Set to form a new cluster of this replica alone in a new folder. */
  readonly form?: FormOptions;
  /** Makes the identity of a new folder; by default random. */
  readonly makeReplicaId?: (vm: string) => string;
}

const IDENTITY_FILE = "identity";
const SNAPSHOT_FILE = "snapshot";
const LOG_PREFIX = "log-";

/**
 * Opens a data folder, making it where it is new.
 *
 * @param options - The folder, and the fleet and VM that it must belong to.
 * @returns The storage with what it held; disposing of it closes the files.
 * @throws {StorageOwnerError} For a folder of another VM or fleet, or in use.
 * @throws {StorageDamageError} For damage other than a torn tail.
 * @example
 * await using storage = await openQuorumStorage({
 *   folder: "data",
 *   fleetId: "coldwatch",
 *   vm: "vm-1",
 * });
 */
export async function openQuorumStorage(
  options: OpenQuorumStorageOptions,
): Promise<QuorumStorage> {
  const { folder } = options;
  await mkdir(folder, { recursive: true });
  const lock = await lockDataFolder(folder);
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
  const { folder } = options;
  let identity = await readIdentity(options);
  if (options.form && identity.clusterId === "") {
    identity = await formCluster(identity, { folder, form: options.form });
  }
  const stored = await readStored(folder);
  let sequence = stored.sequence;
  let log = await openLog(folder, sequence, stored.wholeBytes);

  async function append(records: readonly PersistRecord[]): Promise<void> {
    const frames = records.map((record) => encodeFrame(encodeRecord(record)));
    await log.write(Buffer.concat(frames));
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
    identity = { ...identity, clusterId };
    await writeIdentity(folder, identity);
  }

  return {
    get identity() {
      return identity;
    },
    stored: stored.state,
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

// The snapshot goes first: a folder without a cluster's id forms it again.
async function formCluster(
  identity: StorageIdentity,
  options: { folder: string; form: FormOptions },
): Promise<StorageIdentity> {
  const { folder, form } = options;
  const { replicaId: id, vm } = identity;
  const members = [{ id, vm, address: form.address, role: "voter" }];
  const meta = { index: 0, term: 0, members };
  const frames = [encodeFrame(JSON.stringify(meta)), encodeFrame("")];
  await replaceFile(join(folder, SNAPSHOT_FILE), Buffer.concat(frames));
  const formed = { ...identity, clusterId: form.clusterId };
  await writeIdentity(folder, formed);
  return formed;
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
  const handle = await open(path, isNew ? "a+" : "r+");
  await handle.truncate(sizeBytes);
  await handle.sync();
  if (isNew) await syncFolder(folder);
  let endBytes = sizeBytes;
  return {
    async write(bytes) {
      await writeAt(handle, bytes, endBytes);
      await handle.datasync();
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

async function readIdentity(
  options: OpenQuorumStorageOptions,
): Promise<StorageIdentity> {
  const { folder, fleetId, vm, makeReplicaId = makeRandomId } = options;
  const path = join(folder, IDENTITY_FILE);
  const bytes = await readFileIfAny(path);
  if (bytes === undefined) {
    const identity = {
      formatVersion: FORMAT_VERSION,
      fleetId,
      vm,
      replicaId: makeReplicaId(vm),
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

async function writeIdentity(
  folder: string,
  identity: StorageIdentity,
): Promise<void> {
  const bytes = encodeFrame(JSON.stringify(identity));
  await replaceFile(join(folder, IDENTITY_FILE), bytes);
}

function makeRandomId(vm: string): string {
  return `${vm}.${randomBytes(6).toString("hex")}`;
}

async function readStored(folder: string): Promise<{
  state: StoredState;
  sequence: number;
  wholeBytes: number;
}> {
  const snapshot = await readSnapshotFile(folder);
  const names = await readdir(folder);
  const sequences = names
    .filter((name) => /^log-\d+$/.test(name))
    .map((name) => Number(name.slice(LOG_PREFIX.length)));
  const sequence = Math.max(1, ...sequences);
  const path = join(folder, LOG_PREFIX + sequence);
  const bytes = await readFileIfAny(path) ?? Buffer.alloc(0);
  const scan = scanFrames(bytes, { file: path });
  const records = scan.payloads.map((text) => JSON.parse(text) as LogRecord);
  const { hard, log } = replayRecords(records, { path, snapshot });
  const state = { hard, snapshot, log, tornBytes: scan.tornBytes };
  return { state, sequence, wholeBytes: scan.wholeBytes };
}

function replayRecords(
  records: readonly LogRecord[],
  options: { path: string; snapshot: StoredSnapshot | undefined },
): { hard: HardState; log: LogEntry[] } {
  let hard: HardState = { term: 0, votedFor: null };
  let log: LogEntry[] = [];
  for (const record of records) {
    hard = record.hard;
    if (record.kind === "hard") continue;
    const from = record.entries[0].index;
    log = [...log.filter((entry) => entry.index < from), ...record.entries];
  }
  return { hard, log: dropCovered(log, options) };
}

function dropCovered(
  log: readonly LogEntry[],
  options: { path: string; snapshot: StoredSnapshot | undefined },
): LogEntry[] {
  const meta = options.snapshot?.meta;
  const baseIndex = meta?.index ?? 0;
  const atBase = log.find((entry) => entry.index === baseIndex);
  // A log that disagrees with a newer snapshot was left by a crash before the
  // new log was in place: nothing in it counts.
  if (meta && atBase && atBase.term !== meta.term) return [];
  const kept = log.filter((entry) => entry.index > baseIndex);
  if (kept.length === 0) return kept;
  if (kept[0].index !== baseIndex + 1) {
    throw new StorageDamageError(
      `File ${options.path} begins at entry ${
        kept[0].index
      }, but the snapshot ends at ${baseIndex}`,
    );
  }
  return kept;
}

async function readSnapshotFile(
  folder: string,
): Promise<StoredSnapshot | undefined> {
  const path = join(folder, SNAPSHOT_FILE);
  const bytes = await readFileIfAny(path);
  if (bytes === undefined) return undefined;
  const { payloads, wholeBytes, tornBytes } = scanFrames(bytes, { file: path });
  if (payloads.length !== 2 || tornBytes > 0) {
    throw new StorageDamageError(
      `File ${path} is damaged at offset ${wholeBytes}`,
    );
  }
  return { meta: JSON.parse(payloads[0]) as SnapshotMeta, data: payloads[1] };
}

async function readFileIfAny(path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
    throw error;
  }
}

async function replaceFile(path: string, bytes: Buffer): Promise<void> {
  const temporary = `${path}.new`;
  const handle = await open(temporary, "w");
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, path);
  await syncFolder(join(path, ".."));
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
