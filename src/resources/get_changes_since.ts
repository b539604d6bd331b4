/**
 * The changes that a watch or an entry lacks.
 *
 * @module
 */

import type { ResourceChange } from "../model/index.ts";
import type { ResourceState } from "./types.ts";

/**
 * Gets all changes after a revision.
 *
 * @param state - The accepted state.
 * @param revision - The last revision that the reader has.
 * @returns The changes in order, or undefined where some are no longer kept
 * and the reader has to list anew.
 * @throws Nothing.
 * @example
 * const changes = getChangesSince(state, 41) ?? "relist";
 */
export function getChangesSince(
  state: ResourceState,
  revision: number,
): readonly ResourceChange[] | undefined {
  if (revision > state.revision) return undefined;
  if (revision === state.revision) return [];
  const lacking = state.revision - revision;
  if (lacking > state.history.length) return undefined;
  return state.history.slice(-lacking);
}
