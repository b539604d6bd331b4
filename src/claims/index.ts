/**
 * Claims, which ensure that a non-repeatable request runs at most once.
 *
 * @module
 */

export * from "./claim_ledger.ts";
export * from "./decide_claim.ts";
export * from "./types.ts";
