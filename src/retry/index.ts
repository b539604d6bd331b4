/**
 * Retries: classification of failures, the retry decision, back-off, the budget.
 *
 * @module
 */

export * from "./classify_failure.ts";
export * from "./create_retry_ledger.ts";
export * from "./create_sliding_count.ts";
export * from "./decide_retry.ts";
export * from "./get_retry_wait_ms.ts";
export * from "./retry_budget.ts";
export * from "./types.ts";
