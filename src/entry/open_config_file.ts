/**
 * Keeps the last configuration on the disk of an entry that has one.
 *
 * @module
 */

import { mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";
import { encodeFrame, scanFrames } from "../storage/index.ts";
import type { SavedConfig } from "./create_config_replica.ts";

/** The file of the last configuration. */
export interface ConfigFile {
  /** What stood there at start, if anything whole. */
  readonly saved: SavedConfig | undefined;
  /** Writes a configuration; while one is being written only the newest waits. */
  write(config: SavedConfig): void;
  /** Resolves once all is written. */
  settle(): Promise<void>;
}

const CONFIG_FILE = "config";

/**
 * Opens the file of the last configuration.
 *
 * A file that is damaged counts as absent: control has the state.
 *
 * @param folder - The entry's data folder.
 * @param options - Who hears of failed writes.
 * @returns The file.
 * @throws {Error} When the folder can't be made.
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
    async settle() {
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
