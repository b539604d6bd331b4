/**
 * Runtime assertion of the protocol's invariants after each step.
 *
 * @module
 */

import { QuorumInvariantError } from "./quorum_error.ts";
import { getLastIndex, getTermAt } from "./_lib/draft.ts";
import type { QuorumState } from "./types.ts";

/**
 * Asserts the invariants between two consecutive states of one replica.
 *
 * The term and the commit index never decrease, the vote does not change within
 * a term, the log has no gaps, and a committed entry keeps its term.
 *
 * @param before - The state before the step.
 * @param after - The state after the step.
 * @returns Nothing.
 * @throws {QuorumInvariantError} When an invariant is violated.
 * @example
 * assertQuorumInvariants(before, stepQuorum(before, event, context).state);
 */
export function assertQuorumInvariants(
  before: QuorumState,
  after: QuorumState,
): void {
  const violation = findViolation(before, after);
  if (violation === undefined) return;
  throw new QuorumInvariantError(`Quorum invariant violated: ${violation}`);
}

function findViolation(
  before: QuorumState,
  after: QuorumState,
): string | undefined {
  if (after.term < before.term) return "term decreased";
  if (after.commitIndex < before.commitIndex) return "commit index decreased";
  if (after.commitIndex > getLastIndex(after)) {
    return "commit index is past the end of the log";
  }
  const voteChanged = after.term === before.term &&
    before.votedFor !== null && after.votedFor !== before.votedFor;
  if (voteChanged) return "vote changed within a term";
  const { snapshot, log } = after;
  const last = log[log.length - 1];
  if (last && last.index !== snapshot.index + log.length) {
    return "log has a gap";
  }
  const termBefore = getTermAt(before, before.commitIndex);
  const termAfter = getTermAt(after, before.commitIndex);
  const overwritten = termBefore !== undefined && termAfter !== undefined &&
    termBefore !== termAfter;
  return overwritten ? "committed entry was overwritten" : undefined;
}
