/**
 * Closes an HTTP server.
 *
 * @module
 */

import type { FastifyInstance } from "fastify";

/** Options of {@link closeServer}. */
export interface CloseServerOptions {
  /** Time for responses in progress to finish, in ms. */
  readonly graceMs?: number;
}

/** Default time for responses in progress to finish, in ms. */
const DEFAULT_GRACE_MS = 500;

/**
 * Stops listening and gives responses in progress a grace period; then closes all
 * connections. Without the limit, a connection that has not sent a request yet
 * delays the shutdown for a minute.
 *
 * @param server - The server.
 * @param options - The grace period.
 * @returns A promise that resolves once no connection is left.
 * @throws Nothing.
 * @example
 * await closeServer(api);
 */
export async function closeServer(
  server: FastifyInstance,
  options: CloseServerOptions = {},
): Promise<void> {
  const { graceMs = DEFAULT_GRACE_MS } = options;
  const timer = setTimeout(
    () => server.server.closeAllConnections(),
    graceMs,
  );
  await server.close();
  clearTimeout(timer);
}
