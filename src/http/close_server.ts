/**
 * Ends an HTTP server.
 *
 * @module
 */

import type { FastifyInstance } from "fastify";

/** How a server is ended. */
export interface CloseServerOptions {
  /** Ms for answers that are under way. */
  readonly graceMs?: number;
}

/** Ms for answers that are under way, by default. */
const GRACE_MS = 500;

/**
 * Stops listening and lets answers that are under way finish for a while; then all
 * connections are closed. Without a limit, a connection on which nothing was asked
 * yet keeps a server from ending for a minute.
 *
 * @param server - The server.
 * @param options - How long answers have.
 * @returns A promise that resolves once no connection is left.
 * @throws Nothing.
 * @example
 * await closeServer(api);
 */
export async function closeServer(
  server: FastifyInstance,
  options: CloseServerOptions = {},
): Promise<void> {
  const { graceMs = GRACE_MS } = options;
  const timer = setTimeout(
    () => server.server.closeAllConnections(),
    graceMs,
  );
  await server.close();
  clearTimeout(timer);
}
