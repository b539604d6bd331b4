/**
 * Log replication: append requests of the leader, their handling by followers,
 * and the commit rule.
 *
 * @module
 */

import { MAX_APPEND_ENTRIES, SNAPSHOT_RESEND_MS } from "../constants.ts";
import type {
  AppendRequestBody,
  AppendResponseBody,
  LogEntry,
  PeerProgress,
  QuorumMessage,
  QuorumState,
  ReplicaId,
} from "../types.ts";
import {
  advanceCommit,
  becomeFollower,
  type Draft,
  findMembers,
  getEntries,
  getLastIndex,
  getTermAt,
  getVoterIds,
  markDirty,
  resetElectionTimer,
  send,
} from "./draft.ts";
import { completeReads, isLeaseValid } from "./reads.ts";

/** Starts a round: sends entries or a heartbeat to every other member. */
export function broadcastAppend(draft: Draft): void {
  const { nowMs } = draft.context;
  draft.heartbeatDueMs = nowMs + draft.timing.heartbeatIntervalMs;
  for (const member of draft.members) {
    if (member.id !== draft.selfId) sendAppend(draft, member.id);
  }
}

/** Replication progress of a member, or the initial progress of a new one. */
export function getProgress(draft: Draft, id: ReplicaId): PeerProgress {
  return draft.peers[id] ?? {
    nextIndex: getLastIndex(draft) + 1,
    matchIndex: 0,
    ackedSentMs: -1,
    snapshotSentMs: 0,
  };
}

/** Sends a member the entries that it lacks, or a heartbeat. */
export function sendAppend(draft: Draft, id: ReplicaId): void {
  const { nowMs } = draft.context;
  const progress = getProgress(draft, id);
  // `nextIndex` advances before the response: entries lost in transit cause a
  // mismatch at the next heartbeat and are then sent again.
  const previousIndex = progress.nextIndex - 1;
  const previousTerm = getTermAt(draft, previousIndex);
  if (previousTerm === undefined) {
    sendSnapshot(draft, { id, progress });
    return;
  }
  const lastIndex = Math.min(
    getLastIndex(draft),
    previousIndex + MAX_APPEND_ENTRIES,
  );
  const entries = getEntries(draft, progress.nextIndex, lastIndex);
  const nextIndex = previousIndex + entries.length + 1;
  draft.peers = { ...draft.peers, [id]: { ...progress, nextIndex } };
  const body: AppendRequestBody = {
    type: "appendRequest",
    previousIndex,
    previousTerm,
    commitIndex: draft.commitIndex,
    sentMs: nowMs,
    entries,
  };
  send(draft, id, { body, afterSync: false });
}

function sendSnapshot(
  draft: Draft,
  options: { id: ReplicaId; progress: PeerProgress },
): void {
  const { id, progress } = options;
  const { nowMs } = draft.context;
  const isInTransit = progress.snapshotSentMs > 0 &&
    nowMs - progress.snapshotSentMs < SNAPSHOT_RESEND_MS;
  const snapshotSentMs = isInTransit ? progress.snapshotSentMs : nowMs;
  draft.peers = { ...draft.peers, [id]: { ...progress, snapshotSentMs } };
  if (!isInTransit) draft.effects.push({ type: "sendSnapshot", to: id });
  // Still send a heartbeat, so that the member does not start an election.
  const body: AppendRequestBody = {
    type: "appendRequest",
    previousIndex: draft.snapshot.index,
    previousTerm: draft.snapshot.term,
    commitIndex: 0,
    sentMs: nowMs,
    entries: [],
  };
  send(draft, id, { body, afterSync: false });
}

/** Accepts the sender of an append request or snapshot as the leader. */
export function followLeader(draft: Draft, message: QuorumMessage): void {
  if (draft.role !== "follower" || draft.leaderId !== message.from) {
    becomeFollower(draft, { term: message.term, leaderId: message.from });
  }
  draft.leaderContactMs = draft.context.nowMs;
  draft.hasNoLeaderContact = false;
  resetElectionTimer(draft);
}

/** Handles an append request from the leader. */
export function handleAppendRequest(
  draft: Draft,
  message: QuorumMessage,
): void {
  const body = message.body as AppendRequestBody;
  if (message.term < draft.term) {
    sendAppendResponse(draft, message, { success: false, matchIndex: 0 });
    return;
  }
  followLeader(draft, message);
  const { previousIndex } = body;
  const isCompacted = previousIndex < draft.snapshot.index;
  if (!isCompacted && getTermAt(draft, previousIndex) !== body.previousTerm) {
    const matchIndex = Math.min(getLastIndex(draft), previousIndex - 1);
    sendAppendResponse(draft, message, {
      success: false,
      matchIndex: Math.max(matchIndex, draft.commitIndex),
    });
    return;
  }
  appendEntries(draft, body.entries);
  const matchIndex = previousIndex + body.entries.length;
  advanceCommit(draft, Math.min(body.commitIndex, matchIndex));
  sendAppendResponse(draft, message, {
    success: true,
    matchIndex: Math.max(matchIndex, draft.snapshot.index),
  });
}

function appendEntries(draft: Draft, entries: readonly LogEntry[]): void {
  const fresh = entries.filter((entry) =>
    entry.index > draft.snapshot.index &&
    getTermAt(draft, entry.index) !== entry.term
  );
  if (fresh.length === 0) return;
  const firstIndex = fresh[0].index;
  const kept = draft.log.slice(0, firstIndex - draft.snapshot.index - 1);
  const added = entries.filter((entry) => entry.index >= firstIndex);
  draft.log = [...kept, ...added];
  markDirty(draft, firstIndex);
  Object.assign(draft, findMembers(draft.snapshot, draft.log));
}

function sendAppendResponse(
  draft: Draft,
  message: QuorumMessage,
  result: { success: boolean; matchIndex: number },
): void {
  const { sentMs } = message.body as AppendRequestBody;
  const body: AppendResponseBody = {
    type: "appendResponse",
    echoSentMs: sentMs,
    ...result,
  };
  send(draft, message.from, { body });
}

/** Handles a follower's response: updates its progress, the lease and commits. */
export function handleAppendResponse(
  draft: Draft,
  message: QuorumMessage,
): void {
  if (draft.role !== "leader" || message.term !== draft.term) return;
  const body = message.body as AppendResponseBody;
  const before = getProgress(draft, message.from);
  const ackedSentMs = Math.max(before.ackedSentMs, body.echoSentMs);
  const next = body.success
    ? applySuccess(before, body)
    : applyMismatch(before, { hintIndex: body.matchIndex, draft });
  draft.peers = { ...draft.peers, [message.from]: { ...next, ackedSentMs } };
  completeReads(draft);
  if (!body.success) {
    // Sending from the same index would fail again: wait for the next round.
    if (next.nextIndex !== before.nextIndex) sendAppend(draft, message.from);
    return;
  }
  advanceLeaderCommit(draft);
  advanceTransfer(draft);
  if (next.nextIndex <= getLastIndex(draft)) sendAppend(draft, message.from);
}

function applySuccess(
  before: PeerProgress,
  body: AppendResponseBody,
): PeerProgress {
  const matchIndex = Math.max(before.matchIndex, body.matchIndex);
  const nextIndex = Math.max(before.nextIndex, matchIndex + 1);
  const advanced = matchIndex > before.matchIndex;
  const snapshotSentMs = advanced ? 0 : before.snapshotSentMs;
  return { ...before, matchIndex, nextIndex, snapshotSentMs };
}

function applyMismatch(
  before: PeerProgress,
  options: { hintIndex: number; draft: Draft },
): PeerProgress {
  const { hintIndex, draft } = options;
  const nextIndex = Math.min(
    Math.max(before.matchIndex, hintIndex) + 1,
    getLastIndex(draft) + 1,
  );
  return { ...before, nextIndex };
}

/** Sends `timeoutNow` to the transfer target once it holds the whole log. */
export function advanceTransfer(draft: Draft): void {
  const { transferTo } = draft;
  if (transferTo === null) return;
  const { matchIndex } = getProgress(draft, transferTo);
  if (matchIndex < getLastIndex(draft)) return;
  draft.transferTo = null;
  send(draft, transferTo, { body: { type: "timeoutNow" } });
}

/** Highest index that a quorum of voters has synced to disk. */
export function getQuorumIndex(state: QuorumState): number {
  const matched = getVoterIds(state).map((id) =>
    id === state.selfId ? state.syncedIndex : state.peers[id]?.matchIndex ?? 0
  );
  matched.sort((a, b) => b - a);
  return matched[Math.floor(matched.length / 2)] ?? 0;
}

/**
 * Commits the entries that a quorum holds. Entries of earlier terms are only
 * committed together with an entry of the current term.
 */
export function advanceLeaderCommit(draft: Draft): void {
  const index = getQuorumIndex(draft);
  if (index <= draft.commitIndex) return;
  if (getTermAt(draft, index) !== draft.term) return;
  advanceCommit(draft, index);
  completeReads(draft);
}

/**
 * Whether no quorum has answered this leader for the longest election timeout,
 * so that it has to step down.
 */
export function hasLostQuorum(state: QuorumState, nowMs: number): boolean {
  const { electionTimeoutMs, electionJitterMs } = state.timing;
  const timeoutMs = electionTimeoutMs + electionJitterMs;
  if (nowMs - state.leaderContactMs < timeoutMs) return false;
  return !isLeaseValid(state, { nowMs, maxAgeMs: timeoutMs });
}
