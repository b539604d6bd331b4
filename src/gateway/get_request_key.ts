/**
 * Identifies requests by their content rather than by the ids of their attempts.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** The content that two attempts of the same request share. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query as received. */
  readonly target: string;
  /** Client account; undefined where the route doesn't require one. */
  readonly account: string | undefined;
  readonly body: Buffer | null;
}

/** Characters of a key: 96 bits make a collision within a fleet negligible. */
const KEY_CHARS = 16;

/**
 * Gets the key of a request. All attempts of one request have the same key, whichever
 * gateway and id they arrive with.
 *
 * @param content - The content of the request.
 * @returns The key, in characters that need no escaping.
 * @throws Nothing.
 * @example
 * const key = getRequestKey({ method, host, target, account, body });
 */
export function getRequestKey(content: RequestContent): string {
  const { method, host, target, account = "", body } = content;
  const hash = createHash("sha256");
  // JSON quoting keeps the fields distinct whatever they contain.
  hash.update(JSON.stringify([method, host, target, account]));
  if (body) hash.update(body);
  return hash.digest("base64url").slice(0, KEY_CHARS);
}
