/**
 * Linearizable reads: a leader answers at once while it holds a lease, otherwise
 * after a heartbeat round that began no earlier than the read.
 *
 * @module
 */

import type { QuorumState, StepContext } from "../types.ts";
import { type Draft, getTermAt, getVoterIds } from "./draft.ts";

/** Start time, in ms, of the newest round that a quorum of voters answered. */
export function getQuorumRoundMs(state: QuorumState, nowMs: number): number {
  const rounds = getVoterIds(state).map((id) =>
    id === state.selfId ? nowMs : state.peers[id]?.ackedSentMs ?? -Infinity
  );
  rounds.sort((a, b) => b - a);
  return rounds[Math.floor(rounds.length / 2)] ?? -Infinity;
}

/** Whether a quorum has answered a round that began within `maxAgeMs`. */
export function isLeaseValid(
  state: QuorumState,
  options: { nowMs: number; maxAgeMs: number },
): boolean {
  const roundMs = getQuorumRoundMs(state, options.nowMs);
  return options.nowMs - roundMs < options.maxAgeMs;
}

/** Whether this replica may act as leader without a new heartbeat round. */
export function hasLeaderLease(
  state: QuorumState,
  { nowMs, wokeMs = -Infinity }: Pick<StepContext, "nowMs" | "wokeMs">,
): boolean {
  if (state.role !== "leader" || state.leaseForfeited) return false;
  const hasCommittedInTerm = getTermAt(state, state.commitIndex) === state.term;
  // Other replicas may have elected a leader while this machine was suspended;
  // only a round that began after it resumed proves that they have not.
  const isSinceResume = getQuorumRoundMs(state, nowMs) >= wokeMs;
  const maxAgeMs = state.timing.leaseMs;
  return hasCommittedInTerm && isSinceResume &&
    isLeaseValid(state, { nowMs, maxAgeMs });
}

/** Completes the pending reads that a quorum has confirmed. */
export function completeReads(draft: Draft): void {
  if (draft.reads.length === 0) return;
  if (getTermAt(draft, draft.commitIndex) !== draft.term) return;
  const roundMs = getQuorumRoundMs(draft, draft.context.nowMs);
  const ready = draft.reads.filter((read) => roundMs >= read.askedMs);
  draft.reads = draft.reads.filter((read) => roundMs < read.askedMs);
  for (const { readId } of ready) {
    draft.effects.push({ type: "readReady", readId, index: draft.commitIndex });
  }
}
