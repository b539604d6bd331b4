/**
 * Types for the reachability of a service's upstreams from one gateway.
 *
 * @module
 */

/** Result of one round of connection attempts to upstreams of a service. */
export interface ProbeRound {
  /** Upstreams that accepted a connection. */
  readonly reached: number;
  /** Upstreams to which no connection could be made. */
  readonly unreached: number;
  /** When the round ended, in ms. */
  readonly atMs: number;
}

/** Whether new connections to a service's upstreams can be made from here. */
export type ReachabilityState =
  | { readonly type: "reachable" }
  | {
    readonly type: "cutOff";
    /** When it was found out, in ms. */
    readonly sinceMs: number;
    /** Rounds in a row that reached an upstream again. */
    readonly successes: number;
  };
