/**
 * A server over raw sockets that answers each request with bytes without end.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { EndlessAnswer } from "./endless_answers.ts";
import { sendEndlessAnswer } from "./send_endless_answer.ts";

/** A server whose answers have no end. */
export interface EndlessServer extends AsyncDisposable {
  readonly address: string;
  /** Heads and bodies of the requests, as they arrived. */
  readonly requests: readonly string[];
  /** Resolves when a connection has ended, with the side that closed it. */
  readonly closedBy: Promise<"client" | "server">;
}

/**
 * Bytes after which the server gives up, so that a client without limits doesn't fill the
 * memory. More than a client reads within a time limit under test.
 */
const MAX_SENT_BYTES = 1_073_741_824;

/** Ms after which the server gives up an answer that drips. */
const MAX_SENDING_MS = 5_000;

/** Starts the server. Requests for which there is no answer stay unanswered. */
export async function startEndlessServer(
  getAnswer: (request: string) => EndlessAnswer | undefined,
): Promise<EndlessServer> {
  const requests: string[] = [];
  const sockets = new Set<Socket>();
  let close: (side: "client" | "server") => void = () => {};
  const closedBy = new Promise<"client" | "server">((resolve) => {
    close = resolve;
  });

  function giveUp(socket: Socket): void {
    close("server");
    socket.destroy();
  }

  function answer(socket: Socket, request: string): void {
    const answer = getAnswer(request);
    if (!answer) return;
    const timer = setTimeout(() => giveUp(socket), MAX_SENDING_MS);
    socket.on("close", () => clearTimeout(timer));
    socket.on("drain", () => {
      if (socket.bytesWritten > MAX_SENT_BYTES) giveUp(socket);
    });
    sendEndlessAnswer(socket, answer);
  }

  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => {
      sockets.delete(socket);
      close("client");
    });
    socket.on("data", (chunk: Buffer) => {
      const request = chunk.toString("latin1");
      requests.push(request);
      answer(socket, request);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    closedBy,
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
