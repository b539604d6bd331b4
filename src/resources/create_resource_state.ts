/**
 * The accepted state before the first change.
 *
 * @module
 */

import type { ResourceState } from "./types.ts";

/**
 * Creates an empty accepted state.
 *
 * @returns A state at revision 0.
 * @throws Nothing.
 * @example
 * const state = createResourceState();
 */
export function createResourceState(): ResourceState {
  return {
    revision: 0,
    resources: new Map(),
    answered: new Map(),
    history: [],
  };
}
