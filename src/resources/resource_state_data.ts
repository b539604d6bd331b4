/**
 * The accepted state as plain JSON, for snapshots and the entries' disks.
 *
 * @module
 */

import type { Resource, ResourceChange } from "../model/index.ts";
import { getResourceKey } from "./get_resource_key.ts";
import type { AnsweredChange, ResourceState } from "./types.ts";

/** The accepted state as plain JSON. */
export interface ResourceStateData {
  readonly revision: number;
  readonly resources: readonly Resource[];
  readonly answered: readonly (readonly [string, AnsweredChange])[];
  readonly history: readonly ResourceChange[];
}

/**
 * Converts the accepted state to plain JSON data.
 *
 * @param state - The accepted state.
 * @returns Its data.
 * @throws Nothing.
 * @example
 * const text = JSON.stringify(getResourceStateData(state));
 */
export function getResourceStateData(state: ResourceState): ResourceStateData {
  return {
    revision: state.revision,
    resources: [...state.resources.values()],
    answered: [...state.answered],
    history: state.history,
  };
}

/**
 * Restores the accepted state from its data.
 *
 * @param data - The result of {@link getResourceStateData}.
 * @returns The state.
 * @throws Nothing.
 * @example
 * const state = parseResourceStateData(JSON.parse(text));
 */
export function parseResourceStateData(data: ResourceStateData): ResourceState {
  const resources = data.resources.map((resource) =>
    [getResourceKey(resource.kind, resource.name), resource] as const
  );
  return {
    revision: data.revision,
    resources: new Map(resources),
    answered: new Map(data.answered),
    history: data.history,
  };
}
