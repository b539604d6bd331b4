/**
 * The mutable working copy of one step. Fields are reassigned, but their values
 * are never mutated in place, so the input state stays unchanged.
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

/** Mutable copy of a state, with the effects and the context of the step. */
export interface Draft extends Writable<QuorumState> {
  effects: QuorumEffect[];
  context: StepContext;
  /** First index of the entries to persist; 0 if there are none. */
  dirtyFromIndex: number;
  hardDirty: boolean;
}

/** Creates a draft from a state. */
export function openDraft(state: QuorumState, context: StepContext): Draft {
  return {
    ...state,
    effects: [],
    context,
    dirtyFromIndex: 0,
    hardDirty: false,
  };
}

/** Index of the last entry, or of the snapshot if the log is empty. */
export function getLastIndex(state: QuorumState): number {
  return state.snapshot.index + state.log.length;
}

/** Term of the entry at `index`; undefined if it is not in the log. */
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

/** Whether the replica is a voter in the newest membership that it knows. */
export function isVoter(state: QuorumState): boolean {
  return state.members.some((m) => m.id === state.selfId && m.role === "voter");
}

/** Whether `ids` contain a majority of the voters. */
export function isQuorum(state: QuorumState, ids: ReadonlySet<ReplicaId>) {
  const voters = getVoterIds(state);
  const count = voters.filter((id) => ids.has(id)).length;
  return count * 2 > voters.length;
}

/** Queues a message; by default it waits until earlier writes are synced. */
export function send(
  draft: Draft,
  to: ReplicaId,
  options: { body: QuorumMessageBody; afterSync?: boolean; term?: number },
): void {
  const { body, afterSync = true, term = draft.term } = options;
  const message = { from: draft.selfId, to, term, body };
  draft.effects.push({ type: "send", message, afterSync });
}

/** Changes the role and reports the change. */
export function setRole(draft: Draft, role: QuorumRole): void {
  draft.role = role;
  draft.effects.push({
    type: "roleChanged",
    role,
    term: draft.term,
    leaderId: draft.leaderId,
  });
}

/**
 * Fraction of the election timeout between election attempts until the first
 * leader contact.
 */
const INITIAL_TIMEOUT_FRACTION = 0.2;

/** Sets the time of the replica's next election attempt, with random jitter. */
export function resetElectionTimer(draft: Draft): void {
  const { electionTimeoutMs, electionJitterMs } = draft.timing;
  const jitterMs = draft.context.random * electionJitterMs;
  // When all replicas start together, the first candidate may find its peers
  // not yet running. It retries soon: without a leader there are no heartbeats
  // to wait for.
  const timeoutMs = draft.hasNoLeaderContact
    ? electionTimeoutMs * INITIAL_TIMEOUT_FRACTION
    : electionTimeoutMs;
  draft.electionDeadlineMs = draft.context.nowMs + timeoutMs + jitterMs;
}

/** Becomes a follower in a term; a new term clears the vote. */
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

/** Refuses all pending reads. */
export function refuseReads(draft: Draft): void {
  for (const read of draft.reads) {
    draft.effects.push({ type: "readRefused", readId: read.readId });
  }
  draft.reads = [];
}

/** Marks the entries from `index` on as not yet persisted. */
export function markDirty(draft: Draft, index: number): void {
  const first = draft.dirtyFromIndex;
  draft.dirtyFromIndex = first === 0 ? index : Math.min(first, index);
  draft.syncedIndex = Math.min(draft.syncedIndex, index - 1);
}

/** Finds the newest membership in the log, or else that of the snapshot. */
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

/** The membership in effect at an index of the log. */
export function getMembersAt(
  state: QuorumState,
  index: number,
): readonly Member[] {
  const entries = getEntries(state, state.snapshot.index + 1, index);
  return findMembers(state.snapshot, entries).members;
}

/** Raises the commit index and emits the newly committed entries. */
export function advanceCommit(draft: Draft, index: number): void {
  if (index <= draft.commitIndex) return;
  const entries = getEntries(draft, draft.commitIndex + 1, index);
  draft.commitIndex = index;
  draft.effects.push({ type: "commit", entries });
}

/** Finishes the draft; its `persist` effect goes before all other effects. */
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
