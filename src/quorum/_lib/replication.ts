/**
 * Replication: what a leader sends, what a follower takes, and when an entry
 * counts as committed.
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
import { isLeaseValid, settleReads } from "./reads.ts";

/** Starts a round: every other member gets a heartbeat or entries. */
export function broadcastAppend(draft: Draft): void {
  const { nowMs } = draft.context;
  draft.heartbeatDueMs = nowMs + draft.timing.heartbeatIntervalMs;
  for (const member of draft.members) {
    if (member.id !== draft.selfId) sendAppend(draft, member.id);
  }
}

/** The leader's view of a member, or what is assumed of a new one. */
export function getProgress(draft: Draft, id: ReplicaId): PeerProgress {
  return draft.peers[id] ?? {
    nextIndex: getLastIndex(draft) + 1,
    matchIndex: 0,
    ackedSentMs: -1,
    snapshotSentMs: 0,
  };
}

/** Sends one member what it lacks, or a heartbeat. */
export function sendAppend(draft: Draft, id: ReplicaId): void {
  const { nowMs } = draft.context;
  const progress = getProgress(draft, id);
  // Entries lost on the way show as a mismatch at the next heartbeat.
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
  const onItsWay = progress.snapshotSentMs > 0 &&
    nowMs - progress.snapshotSentMs < SNAPSHOT_RESEND_MS;
  const snapshotSentMs = onItsWay ? progress.snapshotSentMs : nowMs;
  draft.peers = { ...draft.peers, [id]: { ...progress, snapshotSentMs } };
  if (!onItsWay) draft.effects.push({ type: "sendSnapshot", to: id });
  // The heartbeat still goes out, so that the member knows its leader.
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

/** Follows the sender of a current append request or snapshot. */
export function followLeader(draft: Draft, message: QuorumMessage): void {
  if (draft.role !== "follower" || draft.leaderId !== message.from) {
    becomeFollower(draft, { term: message.term, leaderId: message.from });
  }
  draft.leaderContactMs = draft.context.nowMs;
  draft.isLeaderUnheard = false;
  resetElectionTimer(draft);
}

/** Takes entries from the leader. */
export function handleAppendRequest(
  draft: Draft,
  message: QuorumMessage,
): void {
  const body = message.body as AppendRequestBody;
  if (message.term < draft.term) {
    answer(draft, message, { success: false, matchIndex: 0 });
    return;
  }
  followLeader(draft, message);
  const { previousIndex } = body;
  const covered = previousIndex < draft.snapshot.index;
  if (!covered && getTermAt(draft, previousIndex) !== body.previousTerm) {
    const matchIndex = Math.min(getLastIndex(draft), previousIndex - 1);
    answer(draft, message, {
      success: false,
      matchIndex: Math.max(matchIndex, draft.commitIndex),
    });
    return;
  }
  takeEntries(draft, body.entries);
  const matchIndex = previousIndex + body.entries.length;
  advanceCommit(draft, Math.min(body.commitIndex, matchIndex));
  answer(draft, message, {
    success: true,
    matchIndex: Math.max(matchIndex, draft.snapshot.index),
  });
}

function takeEntries(draft: Draft, entries: readonly LogEntry[]): void {
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

function answer(
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

/** Takes a follower's answer: progress, lease, commit. */
export function handleAppendResponse(
  draft: Draft,
  message: QuorumMessage,
): void {
  if (draft.role !== "leader" || message.term !== draft.term) return;
  const body = message.body as AppendResponseBody;
  const before = getProgress(draft, message.from);
  const ackedSentMs = Math.max(before.ackedSentMs, body.echoSentMs);
  const next = body.success
    ? takeSuccess(before, body)
    : takeMismatch(before, { hintIndex: body.matchIndex, draft });
  draft.peers = { ...draft.peers, [message.from]: { ...next, ackedSentMs } };
  settleReads(draft);
  if (!body.success) {
    // The same place again would only be refused again: wait for a round.
    if (next.nextIndex !== before.nextIndex) sendAppend(draft, message.from);
    return;
  }
  advanceLeaderCommit(draft);
  handOver(draft);
  if (next.nextIndex <= getLastIndex(draft)) sendAppend(draft, message.from);
}

function takeSuccess(
  before: PeerProgress,
  body: AppendResponseBody,
): PeerProgress {
  const matchIndex = Math.max(before.matchIndex, body.matchIndex);
  const nextIndex = Math.max(before.nextIndex, matchIndex + 1);
  const arrived = matchIndex > before.matchIndex;
  const snapshotSentMs = arrived ? 0 : before.snapshotSentMs;
  return { ...before, matchIndex, nextIndex, snapshotSentMs };
}

function takeMismatch(
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

/** Asks the chosen successor to stand, once it holds the whole log. */
export function handOver(draft: Draft): void {
  const { transferTo } = draft;
  if (transferTo === null) return;
  const { matchIndex } = getProgress(draft, transferTo);
  if (matchIndex < getLastIndex(draft)) return;
  draft.transferTo = null;
  send(draft, transferTo, { body: { type: "timeoutNow" } });
}

/** Index that a quorum of voters holds on synced disks. */
export function getQuorumIndex(state: QuorumState): number {
  const matched = getVoterIds(state).map((id) =>
    id === state.selfId ? state.syncedIndex : state.peers[id]?.matchIndex ?? 0
  );
  matched.sort((a, b) => b - a);
  return matched[Math.floor(matched.length / 2)] ?? 0;
}

/** Commits what a quorum holds, but only through an entry of this term. */
export function advanceLeaderCommit(draft: Draft): void {
  const index = getQuorumIndex(draft);
  if (index <= draft.commitIndex) return;
  if (getTermAt(draft, index) !== draft.term) return;
  advanceCommit(draft, index);
  settleReads(draft);
}

/** Gives up leading when no quorum has answered for an election timeout. */
export function isCutOff(state: QuorumState, nowMs: number): boolean {
  const { electionTimeoutMs, electionJitterMs } = state.timing;
  const patienceMs = electionTimeoutMs + electionJitterMs;
  if (nowMs - state.leaderContactMs < patienceMs) return false;
  return !isLeaseValid(state, { nowMs, lengthMs: patienceMs });
}
