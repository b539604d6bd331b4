/**
 * The quorum protocol (Raft) as a pure function of a state and an event.
 *
 * @module
 */

export * from "./constants.ts";
export * from "./count_tolerated_losses.ts";
export * from "./create_quorum_state.ts";
export * from "./find_lost_voter.ts";
export * from "./plan_members_change.ts";
export * from "./plan_voter_change.ts";
export * from "./quorum_error.ts";
export * from "./step_quorum.ts";
export * from "./types.ts";
export { getLastIndex, getMembersAt, getTermAt } from "./_lib/draft.ts";
export { hasLeaderLease } from "./_lib/reads.ts";
export * from "./assert_quorum_invariants.ts";
