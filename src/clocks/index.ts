/**
 * Clocks for what may be believed for a while only.
 *
 * @module
 */

export * from "./create_elapsed_clock.ts";
export * from "./create_listening_clock.ts";
export * from "./start_loop_watch.ts";
