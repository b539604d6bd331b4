/**
 * What must hold of a replica after each step, asserted inside the program.
 *
 * @module
 */

import { QuorumInvariantError } from "./quorum_error.ts";
import { getLastIndex, getTermAt } from "./_lib/draft.ts";
import type { QuorumState } from "./types.ts";

/**
 * Asserts what must hold between two states of one replica.
 *
 * Terms and commit indexes never fall, a vote is not changed within its term,
 * the log has no gaps, and a committed entry keeps its term.
 *
 * @param before - The state before the step.
 * @param after - The state after it.
 * @returns Nothing.
 * @throws {QuorumInvariantError} When one of them does not hold.
 * @example
 * assertQuorumInvariants(before, stepQuorum(before, event, context).state);
 */
export function assertQuorumInvariants(
  before: QuorumState,
  after: QuorumState,
): void {
  const breach = findBreach(before, after);
  if (breach === undefined) return;
  throw new QuorumInvariantError(`Quorum invariant broken: ${breach}`);
}

function findBreach(
  before: QuorumState,
  after: QuorumState,
): string | undefined {
  if (after.term < before.term) return "the term fell";
  if (after.commitIndex < before.commitIndex) return "the commit index fell";
  if (after.commitIndex > getLastIndex(after)) {
    return "the commit index is past the log";
  }
  const voteChanged = after.term === before.term &&
    before.votedFor !== null && after.votedFor !== before.votedFor;
  if (voteChanged) return "the vote changed within a term";
  const { snapshot, log } = after;
  const last = log[log.length - 1];
  if (last && last.index !== snapshot.index + log.length) {
    return "the log has a gap";
  }
  const termBefore = getTermAt(before, before.commitIndex);
  const termAfter = getTermAt(after, before.commitIndex);
  const rewritten = termBefore !== undefined && termAfter !== undefined &&
    termBefore !== termAfter;
  return rewritten ? "a committed entry was rewritten" : undefined;
}
