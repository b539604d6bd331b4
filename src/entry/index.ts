/**
 * The entry program: admits, routes, drives pipelines, answers callers.
 *
 * @module
 */

export * from "./entry_error.ts";
export * from "./start_entry.ts";
