/**
 * Helpers that bound or compare collections.
 *
 * @module
 */

export * from "./find_map_changes.ts";
export * from "./evict_oldest.ts";
