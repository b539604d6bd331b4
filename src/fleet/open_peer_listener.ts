/**
 * The listener for the system's other processes, which outlives a gRPC server.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type Socket } from "node:net";

/** The listener. */
export interface PeerListener extends AsyncDisposable {
  /**
   * Sets who takes new connections. Without a function they are closed at once, so that
   * peers try again.
   */
  setHandler(handle: ((socket: Socket) => void) | undefined): void;
}

/**
 * Opens the listener.
 *
 * Only one process can listen at an address. A control process opens its data folder
 * after the listener and closes it before, so no other process changes the folder.
 *
 * @param address - Host and port.
 * @returns The listener; disposing of it frees the address.
 * @throws {Error} When the address is in use, with the code EADDRINUSE.
 * @example
 * await using listener = await openPeerListener("10.0.0.1:7340");
 */
export async function openPeerListener(address: string): Promise<PeerListener> {
  let handle: ((socket: Socket) => void) | undefined;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    if (handle) handle(socket);
    else socket.destroy();
  });
  const [host, port] = address.split(":");
  server.listen({ host, port: Number(port) });
  await once(server, "listening");
  return {
    setHandler: (next) => void (handle = next),
    async [Symbol.asyncDispose]() {
      handle = undefined;
      const closed = once(server, "close");
      server.close();
      // A peer that is suspended or cut off never closes its end of a connection.
      for (const socket of sockets) socket.destroy();
      await closed;
    },
  };
}
