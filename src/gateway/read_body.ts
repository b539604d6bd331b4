/**
 * Reads the complete body of a request, within a size limit.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** The body, or why there is none. */
export type ReadBody =
  | { readonly type: "whole"; readonly body: Buffer | null }
  | { readonly type: "tooLarge" }
  | { readonly type: "cut" };

/**
 * Reads a body; bytes beyond the limit are read and discarded.
 *
 * @param message - The caller's request.
 * @param options - Maximum size in bytes.
 * @returns The body, null where it is empty.
 * @throws Nothing.
 * @example
 * const read = await readBody(request.raw, { maxBytes: 4_194_304 });
 */
export function readBody(
  message: IncomingMessage,
  options: { maxBytes: number },
): Promise<ReadBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    message.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > options.maxBytes) resolve({ type: "tooLarge" });
      else chunks.push(chunk);
    });
    message.on("end", () => {
      const body = sizeBytes === 0 ? null : Buffer.concat(chunks);
      resolve({ type: "whole", body });
    });
    message.on("error", () => resolve({ type: "cut" }));
    message.on("close", () => resolve({ type: "cut" }));
  });
}
