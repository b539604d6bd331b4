/**
 * Admission under load: which requests may use capacity that is short.
 *
 * @module
 */

export * from "./create_link_budget.ts";
export * from "./get_link_time_ms.ts";
