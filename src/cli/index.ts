/**
 * The command line for operators.
 *
 * @module
 */

export * from "./apply_resources.ts";
export * from "./commands/index.ts";
export * from "./create_operator_client.ts";
export * from "./format_table.ts";
