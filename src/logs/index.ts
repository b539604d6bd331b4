/**
 * Logs: numbered events and how they are written.
 *
 * @module
 */

export * from "./create_line_budget.ts";
export * from "./create_logger.ts";
export * from "./events.ts";
export * from "./guard_standard_streams.ts";
export * from "./open_log_sink.ts";
export * from "./report_dropped_lines.ts";
export * from "./trace_request.ts";
