/**
 * Headers that are not forwarded between callers and upstreams.
 *
 * @module
 */

import { CONNECTION_HEADERS } from "../http/index.ts";

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  "host",
  // Upstreams must not see the key of a client account.
  "authorization",
]);

/**
 * Checks whether a header must not be forwarded.
 *
 * @param name - The header's name, in lower case.
 * @returns Whether it is valid only on its own connection.
 * @throws Nothing.
 * @example
 * isHopByHopHeader("connection"); // true
 */
export function isHopByHopHeader(name: string): boolean {
  return HOP_BY_HOP_HEADERS.has(name);
}
