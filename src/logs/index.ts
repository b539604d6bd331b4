/**
 * Logs: numbered events and how they are written.
 *
 * @module
 */

export * from "./create_line_budget.ts";
export * from "./create_logger.ts";
export * from "./events.ts";
export * from "./trace_request.ts";
