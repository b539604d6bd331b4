/**
 * Limits: leased shares of rate limits, token buckets, admission, fair queues.
 *
 * @module
 */

export * from "./compute_leased_shares.ts";
export * from "./decide_admission.ts";
export * from "./fair_queue.ts";
export * from "./token_bucket.ts";
