/**
 * The changes that a watch or an entry has not received yet.
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
 * @returns The changes in order, or undefined if some of them are no longer kept
 * and the reader has to list again.
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
  const missingCount = state.revision - revision;
  if (missingCount > state.history.length) return undefined;
  return state.history.slice(-missingCount);
}
