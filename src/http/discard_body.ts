/**
 * Reads the rest of a body whose request was answered early.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Options of {@link discardBody}. */
export interface DiscardBodyOptions {
  /** Bytes after which the connection is closed. */
  readonly maxBytes: number;
  /** Ms after which it is closed. */
  readonly timeoutMs: number;
}

/**
 * Discards the rest of a body, so that a caller that sends all of it before it reads
 * gets the answer and can go on using the connection. Beyond the limits the connection
 * is closed.
 *
 * @param message - The request, answered.
 * @param options - How much is read.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * discardBody(message, { maxBytes: 16_777_216, timeoutMs: 2_000 });
 */
export function discardBody(
  message: IncomingMessage,
  options: DiscardBodyOptions,
): void {
  const { headers } = message;
  const hasBody = headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  const hasEnded = message.complete || message.readableEnded;
  if (!hasBody || hasEnded || message.destroyed) return;
  let leftBytes = options.maxBytes;
  const timer = setTimeout(() => message.destroy(), options.timeoutMs);
  message.on("data", (chunk: Buffer) => {
    leftBytes -= chunk.length;
    if (leftBytes < 0) message.destroy();
  });
  message.on("error", () => {});
  message.on("end", () => clearTimeout(timer));
  message.on("close", () => clearTimeout(timer));
}
