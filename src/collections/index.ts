/**
 * Collections that are bounded or compared.
 *
 * @module
 */

export * from "./find_map_changes.ts";
export * from "./forget_oldest.ts";
