/**
 * Upstreams that register themselves by heartbeat.
 *
 * @module
 */

export * from "./create_beat_clock.ts";
export * from "./newest_runs.ts";
export * from "./remove_silent.ts";
export * from "./take_beat.ts";
export * from "./types.ts";
