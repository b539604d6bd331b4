/**
 * Membership: leases, incarnations, the platform's list, damped flapping.
 *
 * @module
 */

export * from "./live_change.ts";
export * from "./step_membership.ts";
export * from "./types.ts";
