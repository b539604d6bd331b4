/**
 * The state with which a replica starts.
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

/** What a replica finds on its disk, and its times. */
export interface CreateQuorumStateOptions {
  readonly hard?: HardState;
  readonly snapshot?: SnapshotMeta;
  readonly log?: readonly LogEntry[];
  readonly timing?: QuorumTiming;
  /** Monotonic time, in ms. */
  readonly nowMs?: number;
  /**
   * Time, in ms, since which it surely heard no leader: when its process
   * started; now by default.
   */
  readonly quietSinceMs?: number;
  /** A number in [0, 1). */
  readonly random?: number;
}

/**
 * Makes the state of a replica that starts.
 *
 * The start of its process counts as contact with a leader: a replica that
 * voted for nobody it remembers may still have promised its silence to one, so
 * it keeps that promise before it votes. Once that is over it stands soon, for
 * all may have started together.
 *
 * @param selfId - The replica's id.
 * @param options - What stands on its disk, its times, the time now.
 * @returns The state, as a follower.
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
    quietSinceMs = nowMs,
    random = 0.5,
  } = options;
  const promisedMs = quietSinceMs + timing.electionTimeoutMs;
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
    leaderContactMs: quietSinceMs,
    isLeaderUnheard: true,
    electionDeadlineMs: Math.max(nowMs, promisedMs) + jitterMs,
    heartbeatDueMs: 0,
    votes: {},
    peers: {},
    reads: [],
    leaseForfeited: false,
    transferDeadlineMs: 0,
    transferTo: null,
  };
}
