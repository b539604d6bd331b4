/**
 * Closes the HTTP server that callers connect to.
 *
 * @module
 */

import { Server } from "node:net";
import { setImmediate, setTimeout as sleep } from "node:timers/promises";
import type { FastifyInstance } from "fastify";
import type { EarlyListener } from "./create_caller_server.ts";

/** Options of {@link closeCallerServer}. */
export interface CloseCallerServerOptions {
  /** The listener that passes connections on to the server, if there is one. */
  readonly earlyListener?: Pick<EarlyListener, "close">;
  /** Requests whose head was read and whose caller has no complete answer yet. */
  readonly getInFlight: () => number;
  /** Ms until all connections are closed at the latest. */
  readonly getLeftMs: () => number;
}

/** Ms in which requests arrive that were sent before their callers saw the close. */
const LINGER_MS = 150;

/** Longest turn of the event loop, in ms, after which the listener is closed. */
const SHORT_TURN_MS = 1;

/** Ms to wait for such a turn at most. */
const MAX_TURN_WAIT_MS = 100;

/** Interval, in ms, at which the requests in flight are counted. */
const POLL_MS = 10;

/**
 * Accepts no further connections, and closes the open ones once the requests that were
 * sent on them are answered. If all connections were closed at once, a request that was
 * on the way would get neither an answer nor a refusal.
 *
 * @param server - The server; it has to answer with `connection: close`.
 * @param options - The early listener, and how long to wait for which requests.
 * @returns A promise that resolves once no connection is left.
 * @throws Nothing.
 * @example
 * await closeCallerServer(server, { getInFlight, getLeftMs });
 */
export async function closeCallerServer(
  server: FastifyInstance,
  options: CloseCallerServerOptions,
): Promise<void> {
  const { earlyListener, getInFlight, getLeftMs } = options;
  await waitForShortTurn();
  earlyListener?.close();
  // The method of the HTTP server would close idle connections, too.
  Server.prototype.close.call(server.server);
  const closedMs = performance.now();
  const isLingering = () =>
    getInFlight() > 0 || performance.now() - closedMs < LINGER_MS;
  while (isLingering() && getLeftMs() > 0) {
    await sleep(POLL_MS);
    // Timers run before what has arrived is read.
    await setImmediate();
  }
  server.server.closeAllConnections();
  await server.close();
}

// Connections that wait to be accepted are reset when the listener is closed. After a
// turn of the event loop that took a moment, hardly any are waiting.
async function waitForShortTurn(): Promise<void> {
  const startedMs = performance.now();
  let turnMs = startedMs;
  let isShort = false;
  while (!isShort && turnMs - startedMs < MAX_TURN_WAIT_MS) {
    await setImmediate();
    isShort = performance.now() - turnMs <= SHORT_TURN_MS;
    turnMs = performance.now();
  }
}
