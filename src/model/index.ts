/**
 * Schemas of the declared resources, and types that the processes exchange.
 *
 * @module
 */

export * from "./find_schema_problems.ts";
export * from "./live_state.ts";
export * from "./outcome.ts";
export * from "./resource_schemas.ts";
