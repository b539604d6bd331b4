/**
 * Claims: at most one run of what must not run twice.
 *
 * @module
 */

export * from "./claim_ledger.ts";
export * from "./decide_claim.ts";
export * from "./types.ts";
