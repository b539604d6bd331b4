/**
 * Membership of the entries: leases, incarnations, the platform's VM list and
 * flap damping.
 *
 * @module
 */

export * from "./live_change.ts";
export * from "./step_membership.ts";
export * from "./types.ts";
