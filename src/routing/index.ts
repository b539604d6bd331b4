/**
 * Routing: the choice of an entry, an upstream, or a chain of stages.
 *
 * @module
 */

export * from "./choose_chain.ts";
export * from "./choose_upstream.ts";
export * from "./compute_entry_intervals.ts";
export * from "./compute_interval_shares.ts";
export * from "./constants.ts";
export * from "./find_remaining_back_off_ms.ts";
export * from "./list_usable_upstreams.ts";
export * from "./rank_by_rendezvous.ts";
export * from "./rank_entries.ts";
export * from "./score_upstream.ts";
export * from "./types.ts";
export * from "./update_health.ts";
