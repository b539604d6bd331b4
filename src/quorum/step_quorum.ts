/**
 * The quorum protocol as a pure step function.
 *
 * @module
 */

import { TRAILING_ENTRIES } from "./constants.ts";
import {
  becomeFollower,
  closeDraft,
  type Draft,
  findMembers,
  getEntries,
  getLastIndex,
  getMembersAt,
  getTermAt,
  markDirty,
  openDraft,
  send,
} from "./_lib/draft.ts";
import {
  handleVoteRequest,
  handleVoteResponse,
  startElection,
  startPreVote,
} from "./_lib/election.ts";
import { hasLeaderLease } from "./_lib/reads.ts";
import {
  advanceLeaderCommit,
  advanceTransfer,
  broadcastAppend,
  followLeader,
  handleAppendRequest,
  handleAppendResponse,
  hasLostQuorum,
} from "./_lib/replication.ts";
import type {
  LogEntryKind,
  Member,
  QuorumEvent,
  QuorumMessage,
  QuorumRefusal,
  QuorumState,
  ReplicaId,
  SnapshotBody,
  SnapshotMeta,
  StepContext,
  StepResult,
} from "./types.ts";

/**
 * Applies one event to the state of a replica.
 *
 * The input state is not modified. The caller carries the effects out in order;
 * a message marked `afterSync` waits until everything persisted before it is on
 * disk. Implements Raft with pre-vote, leader lease, read index, learners and
 * single-member membership changes.
 *
 * @param state - The replica's state.
 * @param event - The event to apply.
 * @param context - Monotonic time in ms and a random number in [0, 1).
 * @returns The new state and the effects to carry out.
 * @throws Nothing.
 * @example
 * const { state: next, effects } = stepQuorum(state, { type: "tick" }, {
 *   nowMs: 1_000,
 *   random: 0.5,
 * });
 */
export function stepQuorum(
  state: QuorumState,
  event: QuorumEvent,
  context: StepContext,
): StepResult {
  const draft = openDraft(state, context);
  applyEvent(draft, event);
  return closeDraft(draft);
}

function applyEvent(draft: Draft, event: QuorumEvent): void {
  switch (event.type) {
    case "tick":
      return handleTick(draft);
    case "message":
      return handleMessage(draft, event.message);
    case "propose":
      return handleProposal(draft, { kind: "command", ...event });
    case "changeMembers":
      return handleMembersChange(draft, event);
    case "read":
      return handleRead(draft, event.readId);
    case "synced":
      return handleSynced(draft, event);
    case "compact":
      return handleCompact(draft, event.meta);
    case "transfer":
      return handleTransfer(draft, event.to);
  }
}

function handleTick(draft: Draft): void {
  const { nowMs } = draft.context;
  if (draft.role !== "leader") {
    if (nowMs >= draft.electionDeadlineMs) startPreVote(draft);
    return;
  }
  const transferFailed = draft.transferDeadlineMs > 0 &&
    nowMs >= draft.transferDeadlineMs;
  if (transferFailed || hasLostQuorum(draft, nowMs)) {
    stepDown(draft);
    return;
  }
  if (nowMs >= draft.heartbeatDueMs) broadcastAppend(draft);
}

function stepDown(draft: Draft): void {
  becomeFollower(draft, { term: draft.term, leaderId: null });
  draft.electionDeadlineMs = draft.context.nowMs +
    draft.timing.electionTimeoutMs;
}

function handleMessage(draft: Draft, message: QuorumMessage): void {
  const { body } = message;
  if (body.type === "voteRequest") return handleVoteRequest(draft, message);
  const isPreVoteAnswer = body.type === "voteResponse" && body.preVote &&
    body.granted;
  if (message.term > draft.term && !isPreVoteAnswer) {
    becomeFollower(draft, { term: message.term, leaderId: null });
  }
  switch (body.type) {
    case "voteResponse":
      return handleVoteResponse(draft, message);
    case "appendRequest":
      return handleAppendRequest(draft, message);
    case "appendResponse":
      return handleAppendResponse(draft, message);
    case "snapshot":
      return handleSnapshot(draft, message);
    case "timeoutNow":
      if (message.term === draft.term) startElection(draft, { transfer: true });
  }
}

function handleProposal(
  draft: Draft,
  proposal: { proposalId: number; kind: LogEntryKind; body: string },
): void {
  const { proposalId, kind, body } = proposal;
  if (draft.role !== "leader") return refuse(draft, proposalId, "not_leader");
  if (draft.transferDeadlineMs > 0) {
    return refuse(draft, proposalId, "transferring");
  }
  const index = getLastIndex(draft) + 1;
  const { term } = draft;
  draft.log = [...draft.log, { index, term, kind, body }];
  markDirty(draft, index);
  draft.effects.push({ type: "accepted", proposalId, index, term });
  broadcastAppend(draft);
}

function refuse(
  draft: Draft,
  proposalId: number,
  reason: QuorumRefusal,
): void {
  draft.effects.push({ type: "refused", proposalId, reason });
}

function handleMembersChange(
  draft: Draft,
  event: { proposalId: number; members: readonly Member[] },
): void {
  const { proposalId, members } = event;
  const isSettled = draft.membersIndex <= draft.commitIndex &&
    getTermAt(draft, draft.commitIndex) === draft.term;
  if (
    draft.role === "leader" && (!isSettled || !isSingleChange(draft, members))
  ) {
    return refuse(draft, proposalId, "change_pending");
  }
  const body = JSON.stringify(members);
  // A replica that returns starts without the progress of its earlier membership.
  const known = new Set(draft.members.map(({ id }) => id));
  handleProposal(draft, { proposalId, kind: "members", body });
  Object.assign(draft, findMembers(draft.snapshot, draft.log));
  draft.peers = Object.fromEntries(
    Object.entries(draft.peers).filter(([id]) => known.has(id)),
  );
}

function isSingleChange(draft: Draft, next: readonly Member[]): boolean {
  const voters = (members: readonly Member[]) =>
    new Set(members.filter((m) => m.role === "voter").map((m) => m.id));
  const before = voters(draft.members);
  const after = voters(next);
  const added = [...after].filter((id) => !before.has(id)).length;
  const removed = [...before].filter((id) => !after.has(id)).length;
  return added + removed <= 1 && after.size > 0;
}

function handleRead(draft: Draft, readId: number): void {
  const { nowMs } = draft.context;
  if (draft.role !== "leader") {
    draft.effects.push({ type: "readRefused", readId });
    return;
  }
  if (hasLeaderLease(draft, draft.context)) {
    draft.effects.push({ type: "readReady", readId, index: draft.commitIndex });
    return;
  }
  const read = { readId, index: draft.commitIndex, askedMs: nowMs };
  draft.reads = [...draft.reads, read];
  broadcastAppend(draft);
}

function handleSynced(
  draft: Draft,
  event: { index: number; term: number },
): void {
  // The entry may have been replaced since its write began; then the entry now
  // at this index is not the one that was synced.
  if (getTermAt(draft, event.index) !== event.term) return;
  draft.syncedIndex = Math.max(draft.syncedIndex, event.index);
  if (draft.role === "leader") advanceLeaderCommit(draft);
}

function handleSnapshot(draft: Draft, message: QuorumMessage): void {
  const { meta, data, sentMs } = message.body as SnapshotBody;
  if (message.term < draft.term) return;
  followLeader(draft, message);
  if (meta.index > draft.commitIndex) {
    draft.snapshot = meta;
    draft.log = [];
    draft.commitIndex = meta.index;
    draft.syncedIndex = meta.index;
    draft.members = meta.members;
    draft.membersIndex = meta.index;
    const hard = { term: draft.term, votedFor: draft.votedFor };
    draft.effects.push({ type: "installSnapshot", hard, meta, data });
  }
  send(draft, message.from, {
    body: {
      type: "appendResponse",
      success: true,
      matchIndex: draft.commitIndex,
      echoSentMs: sentMs,
    },
  });
}

function handleCompact(draft: Draft, meta: SnapshotMeta): void {
  const index = Math.min(meta.index, draft.commitIndex) - TRAILING_ENTRIES;
  if (index <= draft.snapshot.index) return;
  const term = getTermAt(draft, index) ?? 0;
  const kept = getEntries(draft, index + 1, getLastIndex(draft));
  const members = getMembersAt(draft, index);
  draft.snapshot = { index, term, members };
  draft.log = kept;
}

function handleTransfer(draft: Draft, to: ReplicaId): void {
  if (draft.role !== "leader" || draft.transferDeadlineMs > 0) return;
  const target = draft.members.find((member) => member.id === to);
  if (target?.role !== "voter" || to === draft.selfId) return;
  draft.leaseForfeited = true;
  draft.transferTo = to;
  draft.transferDeadlineMs = draft.context.nowMs +
    draft.timing.electionTimeoutMs;
  advanceTransfer(draft);
}
