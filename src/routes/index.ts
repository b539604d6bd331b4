/**
 * Routes by host and path prefix, and the configuration they come in.
 *
 * @module
 */

export * from "./choose_target.ts";
export * from "./create_route_table.ts";
export * from "./find_config_problems.ts";
export * from "./schemas.ts";
