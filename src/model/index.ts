/**
 * The schemas of what operators declare and the types of what is exchanged.
 *
 * @module
 */

export * from "./find_schema_problems.ts";
export * from "./live_state.ts";
export * from "./outcome.ts";
export * from "./resource_schemas.ts";
