/**
 * Free ports on the loopback address.
 *
 * @module
 */

import { createServer } from "node:net";
import process from "node:process";

/** Range of candidates: below the ephemeral ports of outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

// Processes that run in parallel start at different ports.
let nextPort = FIRST_PORT +
  (process.pid * 97) % (LAST_PORT - FIRST_PORT);

/**
 * Finds ports that are free now and outside the range of outgoing connections.
 *
 * @param count - Number of ports.
 * @returns The ports.
 * @throws Nothing.
 * @example
 * const [port] = await findFreePorts(1);
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
    if (await isFree(nextPort)) ports.push(nextPort);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => {
      server.close(() => resolve(true));
    });
  });
}
