/**
 * The initial state of a replica.
 *
 * @module
 */

import { DEFAULT_QUORUM_TIMING } from "./constants.ts";
import { findMembers } from "./_lib/draft.ts";
import type {
  HardState,
  LogEntry,
  QuorumState,
  QuorumTiming,
  ReplicaId,
  SnapshotMeta,
} from "./types.ts";

/** The replica's persisted state, its timing and its start time. */
export interface CreateQuorumStateOptions {
  readonly hard?: HardState;
  readonly snapshot?: SnapshotMeta;
  readonly log?: readonly LogEntry[];
  readonly timing?: QuorumTiming;
  /** Monotonic time, in ms. */
  readonly nowMs?: number;
  /**
   * Monotonic time, in ms, when the process started: no leader has contacted
   * the replica since. Defaults to `nowMs`.
   */
  readonly processStartedMs?: number;
  /** A number in [0, 1). */
  readonly random?: number;
}

/**
 * Creates the initial state of a replica.
 *
 * The start of the process counts as leader contact: before its restart the
 * replica may have answered a heartbeat, on which a leader's lease still rests,
 * so it must not vote until the election timeout has passed. After that it
 * starts an election soon, since all replicas may have started together.
 *
 * @param selfId - The replica's id.
 * @param options - The persisted state, the timing and the current time.
 * @returns The state, in the follower role.
 * @throws Nothing.
 * @example
 * const state = createQuorumState("vm-1.c0ffee", { nowMs: 0, random: 0.5 });
 */
export function createQuorumState(
  selfId: ReplicaId,
  options: CreateQuorumStateOptions = {},
): QuorumState {
  const {
    hard = { term: 0, votedFor: null },
    snapshot = { index: 0, term: 0, members: [] },
    log = [],
    timing = DEFAULT_QUORUM_TIMING,
    nowMs = 0,
    processStartedMs: startedMs = nowMs,
    random = 0.5,
  } = options;
  const voteAllowedMs = startedMs + timing.electionTimeoutMs;
  const jitterMs = random * timing.electionJitterMs;
  return {
    selfId,
    timing,
    ...hard,
    snapshot,
    log,
    syncedIndex: snapshot.index + log.length,
    commitIndex: snapshot.index,
    ...findMembers(snapshot, log),
    role: "follower",
    leaderId: null,
    leaderContactMs: startedMs,
    hasNoLeaderContact: true,
    electionDeadlineMs: Math.max(nowMs, voteAllowedMs) + jitterMs,
    heartbeatDueMs: 0,
    votes: {},
    peers: {},
    reads: [],
    leaseForfeited: false,
    transferDeadlineMs: 0,
    transferTo: null,
  };
}
