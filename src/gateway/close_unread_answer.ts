/**
 * Closes the connection of a caller that does not read its answer.
 *
 * @module
 */

import type { ServerResponse } from "node:http";

/** Options of {@link closeUnreadAnswer}. */
export interface CloseUnreadAnswerOptions {
  /** Ms without a byte read after which the connection is closed. */
  readonly timeoutMs: number;
}

/**
 * Closes the connection if the caller does not go on reading the rest of its answer. The
 * HTTP library sets the idle timeout of a connection only once the answer was taken over
 * by the system, which never happens to a long answer that nobody reads.
 *
 * @param response - The response, ended.
 * @param options - The time without progress.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * closeUnreadAnswer(response, { timeoutMs: 16_000 });
 */
export function closeUnreadAnswer(
  response: ServerResponse,
  options: CloseUnreadAnswerOptions,
): void {
  const { socket } = response;
  if (response.writableFinished || !socket) return;
  socket.setTimeout(options.timeoutMs);
}
