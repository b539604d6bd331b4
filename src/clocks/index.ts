/**
 * Clocks for leases and time-outs.
 *
 * @module
 */

export * from "./create_elapsed_clock.ts";
export * from "./create_listening_clock.ts";
export * from "./start_event_loop_monitor.ts";
