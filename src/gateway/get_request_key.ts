/**
 * Tells requests apart by what they ask, not by the ids of their tries.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** What makes two tries the same request. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query as they came. */
  readonly target: string;
  /** Client account; undefined where the route asks for none. */
  readonly account: string | undefined;
  readonly body: Buffer | null;
}

/** Characters of a key: 96 bits, so that no two requests of a fleet share one. */
const KEY_CHARS = 16;

/**
 * Gets the key of a request. All tries of one request have the same, at whichever
 * gateway and under whatever id they come.
 *
 * @param content - What the request asks.
 * @returns The key, in letters that need no escape.
 * @throws Nothing.
 * @example
 * const key = getRequestKey({ method, host, target, account, body });
 */
export function getRequestKey(content: RequestContent): string {
  const { method, host, target, account = "", body } = content;
  const hash = createHash("sha256");
  // Lengths keep fields apart, whatever they hold.
  hash.update(JSON.stringify([method, host, target, account]));
  if (body) hash.update(body);
  return hash.digest("base64url").slice(0, KEY_CHARS);
}
