/**
 * Whether a gateway reaches a service.
 *
 * @module
 */

export { REACHABLE, stepReachability } from "./step_reachability.ts";
export type { ProbeRound, ReachabilityState } from "./types.ts";
