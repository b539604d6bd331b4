/**
 * Durations of a fleet's quorum, and of the repair of its membership.
 *
 * @module
 */

import type { QuorumTiming } from "../quorum/index.ts";

/** Quorum timing, in ms: a failed leader is replaced within about 1 s. */
export const QUORUM_TIMING: QuorumTiming = {
  electionTimeoutMs: 500,
  electionJitterMs: 250,
  heartbeatIntervalMs: 120,
  leaseMs: 400,
};

/** Ms between two checks of the quorum's members. */
export const MEMBERS_INTERVAL_MS = 100;

/**
 * Ms without a response after which a voter is replaced where a learner can take its
 * place. Short, as the next loss may follow, and as each new leader counts anew; a voter
 * that has merely paused joins again.
 */
export const VOTER_TIMEOUT_MS = 750;
