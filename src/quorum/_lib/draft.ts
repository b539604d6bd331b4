/**
 * The working copy of one step. Fields of the draft are replaced, values that
 * they hold are never changed in place, so the state given in stays as it was.
 *
 * @module
 */

import type {
  LogEntry,
  Member,
  QuorumEffect,
  QuorumMessageBody,
  QuorumRole,
  QuorumState,
  ReplicaId,
  SnapshotMeta,
  StepContext,
} from "../types.ts";

type Writable<T> = { -readonly [Key in keyof T]: T[Key] };

/** A state under change, its effects, and the step's time and randomness. */
export interface Draft extends Writable<QuorumState> {
  effects: QuorumEffect[];
  context: StepContext;
  /** First index of the entries to persist; 0 where there are none. */
  dirtyFromIndex: number;
  hardDirty: boolean;
}

/** Opens a draft on a state. */
export function openDraft(state: QuorumState, context: StepContext): Draft {
  return {
    ...state,
    effects: [],
    context,
    dirtyFromIndex: 0,
    hardDirty: false,
  };
}

/** Index of the last entry, or of the snapshot where the log is empty. */
export function getLastIndex(state: QuorumState): number {
  return state.snapshot.index + state.log.length;
}

/** Term of the entry at `index`; undefined where it is not held. */
export function getTermAt(
  state: QuorumState,
  index: number,
): number | undefined {
  if (index === state.snapshot.index) return state.snapshot.term;
  return state.log[index - state.snapshot.index - 1]?.term;
}

/** Entries from `fromIndex` up to and including `toIndex`. */
export function getEntries(
  state: QuorumState,
  fromIndex: number,
  toIndex: number,
): readonly LogEntry[] {
  const base = state.snapshot.index + 1;
  return state.log.slice(Math.max(0, fromIndex - base), toIndex - base + 1);
}

/** Ids of the voters. */
export function getVoterIds(state: QuorumState): ReplicaId[] {
  return state.members.filter((m) => m.role === "voter").map((m) => m.id);
}

/** Whether the replica itself is a voter by its newest membership. */
export function isVoter(state: QuorumState): boolean {
  return state.members.some((m) => m.id === state.selfId && m.role === "voter");
}

/** Whether `ids` hold a majority of the voters. */
export function isQuorum(state: QuorumState, ids: ReadonlySet<ReplicaId>) {
  const voters = getVoterIds(state);
  const count = voters.filter((id) => ids.has(id)).length;
  return count * 2 > voters.length;
}

/** Queues a message; by default it waits for the sync of what came before. */
export function send(
  draft: Draft,
  to: ReplicaId,
  options: { body: QuorumMessageBody; afterSync?: boolean; term?: number },
): void {
  const { body, afterSync = true, term = draft.term } = options;
  const message = { from: draft.selfId, to, term, body };
  draft.effects.push({ type: "send", message, afterSync });
}

/** Moves to another role and reports the change. */
export function setRole(draft: Draft, role: QuorumRole): void {
  draft.role = role;
  draft.effects.push({
    type: "roleChanged",
    role,
    term: draft.term,
    leaderId: draft.leaderId,
  });
}

/** Share of the election timeout between two tries before any leader is heard. */
const FIRST_ELECTION_SHARE = 0.2;

/** Draws the time at which the replica will stand for election. */
export function resetElectionTimer(draft: Draft): void {
  const { electionTimeoutMs, electionJitterMs } = draft.timing;
  const jitterMs = draft.context.random * electionJitterMs;
  // Where all start together, the first to stand finds the others not there
  // yet; there is no leader whose beats a longer wait would let in.
  const waitMs = draft.isLeaderUnheard
    ? electionTimeoutMs * FIRST_ELECTION_SHARE
    : electionTimeoutMs;
  draft.electionDeadlineMs = draft.context.nowMs + waitMs + jitterMs;
}

/** Enters a term as follower; an older term's vote is forgotten. */
export function becomeFollower(
  draft: Draft,
  options: { term: number; leaderId: ReplicaId | null },
): void {
  const { term, leaderId } = options;
  const sameTerm = term === draft.term;
  const changed = !sameTerm || draft.role !== "follower" ||
    draft.leaderId !== leaderId;
  if (!sameTerm) {
    draft.term = term;
    draft.votedFor = null;
    draft.hardDirty = true;
  }
  draft.leaderId = leaderId;
  draft.votes = {};
  draft.peers = {};
  draft.transferTo = null;
  refuseReads(draft);
  if (changed) setRole(draft, "follower");
}

/** Turns down all reads that still wait. */
export function refuseReads(draft: Draft): void {
  for (const read of draft.reads) {
    draft.effects.push({ type: "readRefused", readId: read.readId });
  }
  draft.reads = [];
}

/** Marks entries from `index` on as not yet persisted. */
export function markDirty(draft: Draft, index: number): void {
  const first = draft.dirtyFromIndex;
  draft.dirtyFromIndex = first === 0 ? index : Math.min(first, index);
  draft.syncedIndex = Math.min(draft.syncedIndex, index - 1);
}

/** Finds the newest membership in the log, or that of the snapshot. */
export function findMembers(
  snapshot: SnapshotMeta,
  log: readonly LogEntry[],
): { members: readonly Member[]; membersIndex: number } {
  for (let at = log.length - 1; at >= 0; at--) {
    const entry = log[at];
    if (entry.kind !== "members") continue;
    const members = JSON.parse(entry.body) as Member[];
    return { members, membersIndex: entry.index };
  }
  return { members: snapshot.members, membersIndex: snapshot.index };
}

/** The membership that held at an index of the log. */
export function getMembersAt(
  state: QuorumState,
  index: number,
): readonly Member[] {
  const entries = getEntries(state, state.snapshot.index + 1, index);
  return findMembers(state.snapshot, entries).members;
}

/** Raises the commit index and hands out the entries that it newly covers. */
export function advanceCommit(draft: Draft, index: number): void {
  if (index <= draft.commitIndex) return;
  const entries = getEntries(draft, draft.commitIndex + 1, index);
  draft.commitIndex = index;
  draft.effects.push({ type: "commit", entries });
}

/** Closes the draft: what must be persisted goes before all else. */
export function closeDraft(draft: Draft): {
  state: QuorumState;
  effects: readonly QuorumEffect[];
} {
  const { effects, context: _context, dirtyFromIndex, hardDirty, ...state } =
    draft;
  if (!hardDirty && dirtyFromIndex === 0) return { state, effects };
  const hard = { term: draft.term, votedFor: draft.votedFor };
  const entries = dirtyFromIndex === 0
    ? []
    : getEntries(draft, dirtyFromIndex, getLastIndex(draft));
  const persist: QuorumEffect = { type: "persist", hard, entries };
  return { state, effects: [persist, ...effects] };
}
