/**
 * Reading, atomic replacement and syncing of files.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { mkdir, open, readFile, rename } from "node:fs/promises";
import { dirname, join, resolve } from "node:path";

/**
 * Reads a file that may not exist.
 *
 * @param path - The path of the file.
 * @returns Its bytes, or undefined if it does not exist.
 * @throws {Error} If the file exists but can't be read.
 * @example
 * const bytes = await readFileIfAny(path);
 */
export async function readFileIfExists(
  path: string,
): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
    throw error;
  }
}

/**
 * Replaces a file atomically: writes and syncs a temporary file, renames it and
 * syncs the folder.
 *
 * @param path - The path of the file.
 * @param bytes - Its new content.
 * @returns Nothing.
 * @throws {Error} If a file operation fails.
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
 * Creates a folder that may exist, and those above it, so that they survive a crash.
 *
 * @param folder - The path of the folder.
 * @returns Nothing.
 * @throws {Error} If a file operation fails.
 * @example
 * await makeFolder("data/vm-1");
 */
export async function makeFolder(folder: string): Promise<void> {
  const first = await mkdir(folder, { recursive: true });
  if (first === undefined) return;
  const top = dirname(resolve(first));
  let path = resolve(folder);
  while (path !== top) {
    path = dirname(path);
    await syncFolder(path);
  }
}

/**
 * Syncs a folder, so that created and renamed files survive a crash.
 *
 * @param folder - The path of the folder.
 * @returns Nothing.
 * @throws {Error} If a file operation fails.
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
