/**
 * Stores the last configuration on disk, for entries with a data folder.
 *
 * @module
 */

import { mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";
import { encodeFrame, scanFrames } from "../storage/index.ts";
import type { SavedConfig } from "./create_config_replica.ts";

/** The file of the last configuration. */
export interface ConfigFile {
  /** The configuration found at start, if it was intact. */
  readonly saved: SavedConfig | undefined;
  /** Queues a write; a newer configuration replaces one that is still queued. */
  write(config: SavedConfig): void;
  /** Resolves once all queued writes are done. */
  flush(): Promise<void>;
}

const CONFIG_FILE = "config";

/**
 * Opens the file of the last configuration.
 *
 * A damaged file counts as absent: control sends the whole state again.
 *
 * @param folder - The entry's data folder.
 * @param options - A listener for failed writes.
 * @returns The file.
 * @throws {Error} If the folder can't be created.
 * @example
 * const file = await openConfigFile("data", { onError });
 */
export async function openConfigFile(
  folder: string,
  options: { onError: (error: unknown) => void },
): Promise<ConfigFile> {
  await mkdir(folder, { recursive: true });
  const path = join(folder, CONFIG_FILE);
  const saved = await readSaved(path);
  let waiting: SavedConfig | undefined;
  let writing: Promise<void> | undefined;

  async function writeWaiting(): Promise<void> {
    while (waiting) {
      const next = waiting;
      waiting = undefined;
      await writeFile(path, JSON.stringify(next)).catch(options.onError);
    }
    writing = undefined;
  }

  return {
    saved,
    write(config) {
      waiting = config;
      writing ??= writeWaiting();
    },
    async flush() {
      while (writing) await writing;
    },
  };
}

async function readSaved(path: string): Promise<SavedConfig | undefined> {
  try {
    const bytes = await readFile(path);
    const { payloads } = scanFrames(bytes, { file: path });
    return payloads[0] === undefined
      ? undefined
      : JSON.parse(payloads[0]) as SavedConfig;
  } catch {
    return undefined;
  }
}

async function writeFile(path: string, text: string): Promise<void> {
  const handle = await open(`${path}.new`, "w");
  try {
    await handle.writeFile(encodeFrame(text));
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(`${path}.new`, path);
}
