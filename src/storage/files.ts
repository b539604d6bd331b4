/**
 * Files that last: read, replaced, synced.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";

/**
 * Reads a file.
 *
 * @param path - The file.
 * @returns Its bytes, or undefined where there is none.
 * @throws {Error} Where it is there and can't be read.
 * @example
 * const bytes = await readFileIfAny(path);
 */
export async function readFileIfAny(path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
    throw error;
  }
}

/**
 * Replaces a file: written new, synced, renamed, the folder synced.
 *
 * @param path - The file.
 * @param bytes - Its new content.
 * @returns Nothing.
 * @throws {Error} Where the disk refuses.
 * @example
 * await replaceFile(path, bytes);
 */
export async function replaceFile(path: string, bytes: Buffer): Promise<void> {
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

/**
 * Syncs a folder, so that its files' names last.
 *
 * @param folder - The folder.
 * @returns Nothing.
 * @throws {Error} Where the disk refuses.
 * @example
 * await syncFolder(folder);
 */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
