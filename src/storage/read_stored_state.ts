/**
 * Reads the state stored in a data folder: snapshot, term, vote and log.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { readdir } from "node:fs/promises";
import { join } from "node:path";
import type { HardState, LogEntry, SnapshotMeta } from "../quorum/index.ts";
import { LOG_PREFIX, SNAPSHOT_FILE } from "./constants.ts";
import { readFileIfExists } from "./files.ts";
import { scanFrames } from "./frame.ts";
import { StorageDamageError } from "./storage_error.ts";

/** A snapshot with its metadata. */
export interface StoredSnapshot {
  readonly meta: SnapshotMeta;
  readonly data: string;
}

/** The state read from a data folder at startup. */
export interface StoredState {
  readonly hard: HardState;
  readonly snapshot: StoredSnapshot | undefined;
  readonly log: readonly LogEntry[];
  /** Size, in bytes, of the torn tail that was cut off the log. */
  readonly tornBytes: number;
}

/** A record of the log file. */
export type LogRecord =
  | { readonly kind: "hard"; readonly hard: HardState }
  | {
    readonly kind: "batch";
    readonly hard: HardState;
    readonly entries: readonly LogEntry[];
  };

/**
 * Reads the state stored in a data folder.
 *
 * @param folder - The folder.
 * @returns The state, with the sequence number and the valid size of the log
 * file.
 * @throws {StorageDamageError} If a file is corrupt other than by a torn tail.
 * @example
 * const { state } = await readStoredState(folder);
 */
export async function readStoredState(folder: string): Promise<{
  state: StoredState;
  sequence: number;
  validBytes: number;
}> {
  const snapshot = await readSnapshotFile(folder);
  const names = await readdir(folder);
  const sequences = names
    .filter((name) => /^log-\d+$/.test(name))
    .map((name) => Number(name.slice(LOG_PREFIX.length)));
  const sequence = Math.max(1, ...sequences);
  const path = join(folder, LOG_PREFIX + sequence);
  const bytes = await readFileIfExists(path) ?? Buffer.alloc(0);
  const scan = scanFrames(bytes, { file: path });
  const records = scan.payloads.map((text) => JSON.parse(text) as LogRecord);
  const { hard, log } = replayRecords(records, { path, snapshot });
  const state = { hard, snapshot, log, tornBytes: scan.tornBytes };
  return { state, sequence, validBytes: scan.validBytes };
}

function replayRecords(
  records: readonly LogRecord[],
  options: { path: string; snapshot: StoredSnapshot | undefined },
): { hard: HardState; log: readonly LogEntry[] } {
  let hard: HardState = { term: 0, votedFor: null };
  const log: LogEntry[] = [];
  for (const record of records) {
    hard = record.hard;
    if (record.kind === "batch") replaceTail(log, record.entries);
  }
  return { hard, log: dropCompacted(log, options) };
}

/**
 * Appends entries to a log, in place; they replace those from their first index on.
 *
 * @param log - The log, in ascending order of the indexes.
 * @param entries - The entries to append, in the same order.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * replaceTail(log, record.entries);
 */
export function replaceTail(
  log: LogEntry[],
  entries: readonly LogEntry[],
): void {
  if (entries.length === 0) return;
  const [{ index: from }] = entries;
  while (log.length > 0 && log[log.length - 1].index >= from) log.pop();
  for (const entry of entries) log.push(entry);
}

function dropCompacted(
  log: readonly LogEntry[],
  options: { path: string; snapshot: StoredSnapshot | undefined },
): LogEntry[] {
  const meta = options.snapshot?.meta;
  const baseIndex = meta?.index ?? 0;
  const baseEntry = log.find((entry) => entry.index === baseIndex);
  // A log that conflicts with a newer snapshot is left by a crash between
  // writing the snapshot and its new log: discard all of its entries.
  if (meta && baseEntry && baseEntry.term !== meta.term) return [];
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

/**
 * Reads the snapshot of a data folder.
 *
 * @param folder - The folder.
 * @returns The snapshot, or undefined if there is none.
 * @throws {StorageDamageError} If the snapshot is corrupt.
 * @example
 * const snapshot = await readSnapshotFile(folder);
 */
export async function readSnapshotFile(
  folder: string,
): Promise<StoredSnapshot | undefined> {
  const path = join(folder, SNAPSHOT_FILE);
  const bytes = await readFileIfExists(path);
  if (bytes === undefined) return undefined;
  const { payloads, validBytes, tornBytes } = scanFrames(bytes, { file: path });
  if (payloads.length !== 2 || tornBytes > 0) {
    throw new StorageDamageError(
      `File ${path} is damaged at offset ${validBytes}`,
    );
  }
  return { meta: JSON.parse(payloads[0]) as SnapshotMeta, data: payloads[1] };
}
