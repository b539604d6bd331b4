/**
 * Limits the time in which the head of a request has to be complete.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Options of {@link watchHeads}. */
export interface WatchHeadsOptions {
  /** Ms from the first byte of a head within which it has to be complete. */
  readonly getTimeoutMs: () => number;
}

interface Connection {
  /** Bytes received up to the end of the last request. */
  restBytes: number;
  /** When bytes of a head were first seen, in ms; undefined before that. */
  headSinceMs: number | undefined;
  isServing: boolean;
}

/** Interval between checks. */
const CHECK_INTERVAL_MS = 250;

/**
 * Closes connections whose next head takes too long. The time-out of the HTTP library
 * would also close a new connection that has not sent anything yet, such as one that a
 * caller keeps for its next request.
 *
 * @param server - The server.
 * @param options - The time-out.
 * @returns Nothing; the checks end with the server.
 * @throws Nothing.
 * @example
 * watchHeads(server, { getTimeoutMs: () => 3_000 });
 */
export function watchHeads(server: Server, options: WatchHeadsOptions): void {
  const connections = new Map<Socket, Connection>();

  function check(): void {
    const nowMs = performance.now();
    for (const [socket, connection] of connections) {
      if (connection.isServing || socket.bytesRead <= connection.restBytes) {
        continue;
      }
      connection.headSinceMs ??= nowMs;
      const tookMs = nowMs - connection.headSinceMs;
      if (tookMs > options.getTimeoutMs()) refuse(socket);
    }
  }

  function refuse(socket: Socket): void {
    connections.delete(socket);
    const error = Object.assign(new Error("The head took too long to arrive"), {
      code: "ERR_HTTP_REQUEST_TIMEOUT",
    });
    server.emit("clientError", error, socket);
  }

  server.on("connection", (socket) => {
    connections.set(socket, {
      restBytes: 0,
      headSinceMs: undefined,
      isServing: false,
    });
    socket.once("close", () => connections.delete(socket));
  });
  server.on("request", (message: IncomingMessage, response: ServerResponse) => {
    const { socket } = message;
    const connection = connections.get(socket);
    if (!connection) return;
    connection.isServing = true;
    function rest(): void {
      if (!connection) return;
      connection.isServing = false;
      connection.headSinceMs = undefined;
      connection.restBytes = socket.bytesRead;
    }
    response.once("close", () => {
      if (message.complete) rest();
      else message.once("end", rest);
    });
  });
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  server.once("close", () => clearInterval(timer));
}
