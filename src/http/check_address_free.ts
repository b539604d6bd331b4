/**
 * Checks that an address can be listened at.
 *
 * @module
 */

import { once } from "node:events";
import { createServer } from "node:net";

/**
 * Listens at an address for a moment.
 *
 * @param address - The host and the port.
 * @returns A promise that resolves if the address is free.
 * @throws {Error} When it is in use, with the code EADDRINUSE, or can't be used.
 * @example
 * await checkAddressFree({ host: "127.0.0.1", port: 7500 });
 */
export async function checkAddressFree(
  address: { readonly host: string; readonly port: number },
): Promise<void> {
  const server = createServer((socket) => socket.destroy());
  server.listen(address);
  await once(server, "listening");
  server.close();
  await once(server, "close");
}
