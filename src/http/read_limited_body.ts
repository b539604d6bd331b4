/**
 * Reads a body as a whole, limited in bytes and in time.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import { withTimeout } from "./with_timeout.ts";

/** A body is longer than its limit. */
export class BodyLimitError extends Error {
  override readonly name = "BodyLimitError";
}

/** Pieces that are joined to one: each takes memory besides its bytes. */
const JOINED_PIECES = 1_024;

async function readPieces(body: Readable, maxBytes: number): Promise<Buffer> {
  const joined: Buffer[] = [];
  let pieces: Buffer[] = [];
  let totalBytes = 0;
  for await (const piece of body) {
    totalBytes += piece.length;
    if (totalBytes > maxBytes) {
      throw new BodyLimitError(`Body of more than ${maxBytes} bytes`);
    }
    pieces.push(piece);
    if (pieces.length < JOINED_PIECES) continue;
    joined.push(Buffer.concat(pieces));
    pieces = [];
  }
  return Buffer.concat([...joined, ...pieces]);
}

/**
 * Reads a body as a whole. Past a limit the body is destroyed, which closes its
 * connection.
 *
 * @param body - The body.
 * @param options - The limit in bytes, and one in ms unless the body has another.
 * @returns The bytes of the body.
 * @throws {BodyLimitError} If the body is longer than its limit.
 * @throws {TimeLimitError} If it has not ended in time.
 * @example
 * const bytes = await readLimitedBody(body, { maxBytes: 65_536, timeoutMs: 500 });
 */
export async function readLimitedBody(
  body: Readable,
  options: { readonly maxBytes: number; readonly timeoutMs?: number },
): Promise<Buffer> {
  const { maxBytes, timeoutMs } = options;
  const reading = readPieces(body, maxBytes);
  try {
    if (timeoutMs === undefined) return await reading;
    return await withTimeout(reading, { timeoutMs });
  } catch (error) {
    // The reader has already failed; an error of the destroyed body adds nothing.
    body.on("error", () => {}).destroy(error as Error);
    throw error;
  }
}
