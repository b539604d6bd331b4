/**
 * Detects requests that crash the upstreams that run them, and holds them back.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./get_hold_ms.ts";
export * from "./get_part_keys.ts";
export * from "./record_crashes.ts";
export * from "./refute_crashes.ts";
export * from "./types.ts";
