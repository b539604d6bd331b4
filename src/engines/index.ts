/**
 * Upstreams that register themselves by heartbeat.
 *
 * @module
 */

export * from "./create_heartbeat_clock.ts";
export * from "./newest_incarnations.ts";
export * from "./remove_unresponsive.ts";
export * from "./apply_heartbeat.ts";
export * from "./types.ts";
