/**
 * Routes by host and path prefix, and the configuration that contains them.
 *
 * @module
 */

export * from "./apply_config_change.ts";
export * from "./choose_target.ts";
export * from "./create_route_table.ts";
export * from "./diff_configs.ts";
export * from "./find_config_problems.ts";
export * from "./get_route_key.ts";
export * from "./schemas.ts";
