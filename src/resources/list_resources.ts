/**
 * Lists the resources of one kind.
 *
 * @module
 */

import type { Resource, ResourceKind } from "../model/index.ts";
import type { ResourceState } from "./types.ts";

/**
 * Lists the resources of one kind.
 *
 * @param state - The accepted state.
 * @param kind - The kind.
 * @returns Its resources, sorted by name.
 * @throws Nothing.
 * @example
 * const services = listResources(state, "service");
 */
export function listResources<Kind extends ResourceKind>(
  state: ResourceState,
  kind: Kind,
): Resource<Kind>[] {
  return [...state.resources.values()]
    .filter((resource): resource is Resource<Kind> => resource.kind === kind)
    .sort((a, b) => a.name < b.name ? -1 : 1);
}
