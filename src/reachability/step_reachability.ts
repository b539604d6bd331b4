/**
 * Decides from rounds of connection attempts whether a gateway is cut off from a
 * service.
 *
 * @module
 */

import type { ProbeRound, ReachabilityState } from "./types.ts";

/** Successful rounds in a row after which a service counts as reachable again. */
const ROUNDS_TO_RECOVER = 2;

/** Initial state. */
export const REACHABLE: ReachabilityState = { type: "reachable" };

/**
 * Applies a round of connection attempts. A round without any upstream, as when none
 * is registered, says nothing about the network and ends a partition.
 *
 * @param state - The state before the round.
 * @param round - How many upstreams were reached.
 * @returns The state after the round.
 * @throws Nothing.
 * @example
 * stepReachability(REACHABLE, { reached: 0, unreached: 4, atMs: 500 }).type; // "cutOff"
 */
export function stepReachability(
  state: ReachabilityState,
  round: ProbeRound,
): ReachabilityState {
  const { reached, unreached, atMs } = round;
  if (reached + unreached === 0) return REACHABLE;
  if (state.type === "reachable") {
    return reached > 0
      ? state
      : { type: "cutOff", sinceMs: atMs, successes: 0 };
  }
  if (reached === 0) return { ...state, successes: 0 };
  // A single success may fall into a gap of an unstable partition.
  const successes = state.successes + 1;
  return successes >= ROUNDS_TO_RECOVER ? REACHABLE : { ...state, successes };
}
