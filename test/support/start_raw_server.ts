/**
 * A TCP server whose answers are bytes that a test writes itself.
 *
 * @module
 */

import { type AddressInfo, createServer, type Socket } from "node:net";

/** How a connection is closed. */
export type CloseMode = "close" | "reset";

/** A running server. */
export interface RawServer extends AsyncDisposable {
  /** Host and port. */
  readonly address: string;
  /** Accepts no further connections, as the address of a process that has exited. */
  refuseConnections(): void;
}

/** Starts a server that calls `answer` for each chunk of data received. */
export async function startRawServer(
  answer: (socket: Socket) => void,
): Promise<RawServer> {
  const server = createServer((socket) => {
    socket.on("data", () => answer(socket));
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    refuseConnections: () => void server.close(),
    async [Symbol.asyncDispose]() {
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

/** Sends bytes one at a time, each in an event loop turn of its own, and then closes. */
export async function sendSlowly(
  socket: Socket,
  options: { readonly text: string; readonly mode: CloseMode },
): Promise<void> {
  socket.setNoDelay(true);
  for (const byte of options.text) {
    if (socket.destroyed) return;
    socket.write(byte);
    await new Promise((resolve) => setImmediate(resolve));
  }
  if (options.mode === "close") socket.end();
  else socket.resetAndDestroy();
}
