/**
 * Identifies the parts of a prompt that several requests may share.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Distinguishes the keys of parts from those of requests. */
const PART_PREFIX = "part:";

/** Ids that are used as they are; all others are hashed. */
const PLAIN_ID = /^[0-9a-f]{1,32}$/;

/** Characters of a hashed id. */
const HASH_CHARS = 16;

/** Most parts of one prompt that are considered, which bounds reports and memory. */
const MAX_PARTS = 64;

/**
 * Gets the keys of the parts of a prompt that other requests may have, too. The last
 * part belongs to the request or its session alone.
 *
 * @param partIds - Ids of all parts, in order.
 * @returns The keys, each once, in order.
 * @throws Nothing.
 * @example
 * getPartKeys(["5c1e07a2", "e4402b7d"]); // ["part:5c1e07a2"]
 */
export function getPartKeys(partIds: readonly string[]): readonly string[] {
  const shared = partIds.slice(0, -1).slice(0, MAX_PARTS).map(formatKey);
  return [...new Set(shared)];
}

/**
 * Whether a key is that of a part of a prompt, not of a request.
 *
 * @param key - The key.
 * @returns Whether it is.
 * @throws Nothing.
 * @example
 * isPartKey("part:5c1e07a2"); // true
 */
export function isPartKey(key: string): boolean {
  return key.startsWith(PART_PREFIX);
}

function formatKey(id: string): string {
  const normalized = id.toLowerCase();
  if (PLAIN_ID.test(normalized)) return `${PART_PREFIX}${normalized}`;
  const hash = createHash("sha256").update(id).digest("base64url");
  return `${PART_PREFIX}~${hash.slice(0, HASH_CHARS)}`;
}
