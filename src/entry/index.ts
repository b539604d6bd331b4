/**
 * The entry program: admits and routes requests, runs pipelines, answers callers.
 *
 * @module
 */

export * from "./entry_error.ts";
export * from "./start_entry.ts";
