/**
 * Connections of the HTTP client, with a sign of those that were reset.
 *
 * @module
 */

import type { Socket } from "node:net";
import process from "node:process";
import { buildConnector } from "undici";

/** Connects to servers, and tells an answer that ended from one that was reset. */
export interface ResetDetector {
  readonly connect: buildConnector.connector;
  /** Whether the connection whose answer ends in this event loop turn was reset. */
  readonly isEndedByReset: () => boolean;
}

/**
 * Creates a detector. An answer without a length ends with its connection; if the
 * connection is reset, the answer is incomplete. A reset goes unnoticed in two cases: the
 * library treats `ECONNRESET` as a normal end, and the runtime reports an end if the reset
 * arrives right after the data.
 *
 * @param options - Options of the library's connector.
 * @returns The detector; its `connect` is passed to the library.
 * @throws Nothing.
 * @example
 * const { connect, isEndedByReset } = createResetDetector({ timeout: 500 });
 */
export function createResetDetector(
  options: buildConnector.BuildOptions = {},
): ResetDetector {
  const connect = buildConnector(options);
  let isReset = false;

  // The library ends the answer in the same event loop turn.
  function markReset(): void {
    isReset = true;
    process.nextTick(() => {
      isReset = false;
    });
  }

  return {
    connect(target, done) {
      connect(target, (...result) => {
        const socket = result[1];
        if (socket) watchResets(socket, markReset);
        done(...result);
      });
    },
    isEndedByReset: () => isReset,
  };
}

// After a reset the socket has no remote address at its end. It must not be read earlier,
// as the runtime caches the first value read.
function watchResets(socket: Socket, onReset: () => void): void {
  socket.prependListener("error", (error: NodeJS.ErrnoException) => {
    if (error.code === "ECONNRESET") onReset();
  });
  socket.prependListener("end", () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}
