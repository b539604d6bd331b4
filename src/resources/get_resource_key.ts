/**
 * The key of a resource within the accepted state.
 *
 * @module
 */

import type { ResourceKind } from "../model/index.ts";

/**
 * Gets the key under which a resource is stored.
 *
 * @param kind - The resource's kind.
 * @param name - Its name.
 * @returns The kind and the name, joined by a slash.
 * @throws Nothing.
 * @example
 * getResourceKey("service", "drafting"); // "service/drafting"
 */
export function getResourceKey(kind: ResourceKind, name: string): string {
  return `${kind}/${name}`;
}
