/**
 * Abort signal for a caller's disconnection.
 *
 * @module
 */

import type { FastifyReply } from "fastify";

/**
 * Creates a signal that is aborted if the caller disconnects before the answer ends.
 *
 * @param reply - The reply to the caller.
 * @returns The signal.
 * @throws Nothing.
 * @example
 * const signal = abortOnDisconnect(reply);
 */
export function abortOnDisconnect(reply: FastifyReply): AbortSignal {
  const abort = new AbortController();
  reply.raw.once("close", () => {
    if (!reply.raw.writableFinished) abort.abort();
  });
  return abort.signal;
}
