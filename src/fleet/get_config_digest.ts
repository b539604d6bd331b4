/**
 * Computes digests of configuration documents.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Length of a digest in base64 characters, which is 96 bits. */
const DIGEST_CHARS = 16;

/**
 * Computes the digest of a configuration document.
 *
 * @param packed - The configuration as the operator wrote it, packed.
 * @returns The digest; different documents have different digests.
 * @throws Nothing.
 * @example
 * const digest = getConfigDigest(accepted.packed);
 */
export function getConfigDigest(packed: string): string {
  return createHash("sha256").update(packed).digest("base64")
    .slice(0, DIGEST_CHARS);
}
