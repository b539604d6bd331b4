/**
 * Headers that concern one connection only.
 *
 * @module
 */

import { CONNECTION_HEADERS } from "../http/index.ts";

const HOP_HEADERS: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  "host",
  // A client account's key is not the upstream's business.
  "authorization",
]);

/**
 * Tells whether a header is not passed on.
 *
 * @param name - The header's name, in lower case.
 * @returns Whether it stays on this side.
 * @throws Nothing.
 * @example
 * isHopHeader("connection"); // true
 */
export function isHopHeader(name: string): boolean {
  return HOP_HEADERS.has(name);
}
