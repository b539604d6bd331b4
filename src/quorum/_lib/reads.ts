/**
 * Reads: a leader answers at once under its lease, else after a round of
 * heartbeats that began no earlier than the read.
 *
 * @module
 */

import type { QuorumState, StepContext } from "../types.ts";
import { type Draft, getTermAt, getVoterIds } from "./draft.ts";

/** Start, in ms, of the newest round that a quorum of voters answered. */
export function getQuorumRoundMs(state: QuorumState, nowMs: number): number {
  const rounds = getVoterIds(state).map((id) =>
    id === state.selfId ? nowMs : state.peers[id]?.ackedSentMs ?? -Infinity
  );
  rounds.sort((a, b) => b - a);
  return rounds[Math.floor(rounds.length / 2)] ?? -Infinity;
}

/** Whether a quorum has answered a round that began within `lengthMs`. */
export function isLeaseValid(
  state: QuorumState,
  options: { nowMs: number; lengthMs: number },
): boolean {
  const roundMs = getQuorumRoundMs(state, options.nowMs);
  return options.nowMs - roundMs < options.lengthMs;
}

/** Whether this replica may answer reads and give orders without a round. */
export function hasLeaderLease(
  state: QuorumState,
  { nowMs, wokeMs = -Infinity }: Pick<StepContext, "nowMs" | "wokeMs">,
): boolean {
  if (state.role !== "leader" || state.leaseForfeited) return false;
  const committedOwn = getTermAt(state, state.commitIndex) === state.term;
  // Others may have voted while the clock stood still: only a round that began
  // since then says that they have not.
  const isSinceWaking = getQuorumRoundMs(state, nowMs) >= wokeMs;
  const lengthMs = state.timing.leaseMs;
  return committedOwn && isSinceWaking &&
    isLeaseValid(state, { nowMs, lengthMs });
}

/** Answers the waiting reads that a quorum has meanwhile confirmed. */
export function settleReads(draft: Draft): void {
  if (draft.reads.length === 0) return;
  if (getTermAt(draft, draft.commitIndex) !== draft.term) return;
  const roundMs = getQuorumRoundMs(draft, draft.context.nowMs);
  const ready = draft.reads.filter((read) => roundMs >= read.askedMs);
  draft.reads = draft.reads.filter((read) => roundMs < read.askedMs);
  for (const { readId } of ready) {
    draft.effects.push({ type: "readReady", readId, index: draft.commitIndex });
  }
}
