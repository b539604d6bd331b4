/**
 * A lock that keeps two processes off one data folder.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { realpath } from "node:fs/promises";
import { createServer } from "node:net";
import { StorageOwnerError } from "./storage_error.ts";

/**
 * Takes the lock of a data folder.
 *
 * The lock is an abstract Unix socket named by the folder's path: the kernel
 * lets one process hold it and frees it when that process ends, however it
 * ends, so no stale lock is ever left behind.
 *
 * @param folder - The data folder; it must exist.
 * @returns The lock; disposing of it frees it.
 * @throws {StorageOwnerError} When another process holds the lock.
 * @example
 * await using lock = await lockDataFolder("data");
 */
export async function lockDataFolder(folder: string): Promise<AsyncDisposable> {
  const path = await realpath(folder);
  const name = createHash("sha256").update(path).digest("hex").slice(0, 32);
  const server = createServer((socket) => socket.destroy());
  await new Promise<void>((resolve, reject) => {
    server.once("error", (cause) =>
      reject(
        new StorageOwnerError(
          `Data folder ${folder} is in use by another process`,
          { cause },
        ),
      ));
    server.listen(`\0crowlever-${name}`, resolve);
  });
  server.unref();
  return {
    async [Symbol.asyncDispose]() {
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
