/**
 * Whether a gateway reaches a service, and which gateway serves where it does not.
 *
 * @module
 */

export { chooseListedGateways } from "./choose_listed_gateways.ts";
export { choosePeer, type Peer } from "./choose_peer.ts";
export { REACHABLE, stepReachability } from "./step_reachability.ts";
export type { ProbeRound, ReachabilityState } from "./types.ts";
