/**
 * A lock that prevents two processes from using the same data folder.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { realpath } from "node:fs/promises";
import { createServer } from "node:net";
import { StorageOwnerError } from "./storage_error.ts";

/**
 * Acquires the lock of a data folder.
 *
 * The lock is an abstract Unix socket whose name is derived from the folder's
 * path. The kernel lets only one process bind it and releases it when that
 * process ends for any reason, so that no stale lock can remain.
 *
 * @param folder - The data folder; it must exist.
 * @returns The lock; disposing of it releases it.
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
