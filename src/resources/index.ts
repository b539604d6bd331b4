/**
 * The accepted state: resources, their changes, and the history for watches.
 *
 * @module
 */

export * from "./apply_change.ts";
export * from "./constants.ts";
export * from "./create_resource_state.ts";
export * from "./find_spec_differences.ts";
export * from "./get_changes_since.ts";
export * from "./get_resource_key.ts";
export * from "./list_resources.ts";
export * from "./resource_state_data.ts";
export * from "./types.ts";
