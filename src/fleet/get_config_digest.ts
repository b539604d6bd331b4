/**
 * Tells documents of configurations apart.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Characters of a digest: 96 bits. */
const DIGEST_CHARS = 16;

/**
 * Gets the digest of a configuration.
 *
 * @param packed - The configuration as the operator wrote it, packed.
 * @returns The digest; another document has another one.
 * @throws Nothing.
 * @example
 * const digest = getConfigDigest(accepted.packed);
 */
export function getConfigDigest(packed: string): string {
  return createHash("sha256").update(packed).digest("base64")
    .slice(0, DIGEST_CHARS);
}
