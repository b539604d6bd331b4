/**
 * How a process starts and ends: exit codes, reasons, and a record of earlier ends.
 *
 * @module
 */

export * from "./create_process_end.ts";
export * from "./end_reasons.ts";
export * from "./open_start_record.ts";
