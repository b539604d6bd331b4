/**
 * A signal that tells that a caller has gone away.
 *
 * @module
 */

import type { FastifyReply } from "fastify";

/**
 * Makes a signal that is aborted when the caller goes away before the end.
 *
 * @param reply - The reply to the caller.
 * @returns The signal.
 * @throws Nothing.
 * @example
 * const signal = abortWhenGone(reply);
 */
export function abortWhenGone(reply: FastifyReply): AbortSignal {
  const abort = new AbortController();
  reply.raw.once("close", () => {
    if (!reply.raw.writableFinished) abort.abort();
  });
  return abort.signal;
}
