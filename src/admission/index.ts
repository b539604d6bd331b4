/**
 * Admission under load: which requests may use capacity that is short.
 *
 * @module
 */

export * from "./compare_priorities.ts";
export * from "./compare_urgency.ts";
export * from "./compare_waiting.ts";
export * from "./create_admission_tally.ts";
export * from "./create_link_budget.ts";
export * from "./create_return_log.ts";
export * from "./create_urgent_shortage.ts";
export * from "./get_admission_share.ts";
export * from "./get_call_priority.ts";
export * from "./get_link_time_ms.ts";
export * from "./get_urgent_share.ts";
export * from "./rank_priority.ts";
