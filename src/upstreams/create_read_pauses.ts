/**
 * Pauses the reading from connections of the HTTP client.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** Pauses the reading from one connection. */
export interface ReadPause {
  pause(): void;
  resume(): void;
}

/** Pauses the reading from a set of connections. */
export interface ReadPauses {
  /** Makes a connection one that can be paused. */
  watch(socket: Socket): void;
  /** The pause of the connection whose bytes are being parsed. */
  getCurrent(): ReadPause | undefined;
}

/**
 * Creates the pauses. A paused connection is not read from. Pausing the library's parser
 * instead would end this process: it asserts that a connection whose parser is paused
 * does not end.
 *
 * @returns The pauses.
 * @throws Nothing.
 * @example
 * const pauses = createReadPauses();
 */
export function createReadPauses(): ReadPauses {
  let current: ReadPause | undefined;
  return {
    getCurrent: () => current,
    watch(socket) {
      const read = socket.read.bind(socket);
      let isPaused = false;
      const own: ReadPause = {
        pause() {
          isPaused = true;
        },
        resume() {
          if (!isPaused) return;
          isPaused = false;
          // The library can't read while it parses what came from a connection.
          queueMicrotask(() => {
            if (!isPaused && !socket.destroyed) socket.emit("readable");
          });
        },
      };
      // The runtime itself calls `read(0)`, which starts reading and takes nothing.
      socket.read = (size?: number): Buffer | null => {
        if (size !== undefined) return read(size);
        if (isPaused) return null;
        const chunk: Buffer | null = read();
        if (chunk !== null) current = own;
        return chunk;
      };
    },
  };
}
