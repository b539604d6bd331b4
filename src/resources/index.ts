/**
 * The accepted state: resources, changes, and what watches are told.
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
export * from "./snapshot_text.ts";
export * from "./types.ts";
