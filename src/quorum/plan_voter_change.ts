/**
 * Plans membership changes that replace failed voters by any learners that are
 * available.
 *
 * @module
 */

import { findLostVoter } from "./find_lost_voter.ts";
import type { Member, QuorumState } from "./types.ts";

/** The target number of voters, and which members are unresponsive. */
export interface PlanVoterChangeOptions {
  /** Target number of voters. */
  readonly voters: number;
  /** Whether a member has not answered within its timeout. */
  readonly isUnresponsive: (id: string) => boolean;
  /** Whether a voter is about to stop; by default none is. */
  readonly isLeaving?: (id: string) => boolean;
  /** Maximum number of committed entries that a promoted learner may lack. */
  readonly maxLagEntries?: number;
}

/**
 * Plans the next membership change; each change affects one member. A learner
 * that has caught up is promoted if a voter is missing, unresponsive, leaving or lost.
 *
 * A voter that is lost or unresponsive is removed before its replacement is promoted:
 * the replacement may be lost as well, and should not count towards the majority
 * together with the first one. A leaving voter still answers, so it is removed last.
 *
 * @param state - The leader's state.
 * @param options - The target number of voters and the unresponsive members.
 * @returns The next members, or undefined if no change is due.
 * @throws Nothing.
 * @example
 * const members = planVoterChange(state, { voters: 3, isUnresponsive });
 */
export function planVoterChange(
  state: QuorumState,
  options: PlanVoterChangeOptions,
): readonly Member[] | undefined {
  const { voters, isUnresponsive, maxLagEntries = 64 } = options;
  const { isLeaving = () => false } = options;
  if (state.role !== "leader") return undefined;
  if (state.membersIndex > state.commitIndex) return undefined;
  const { members, selfId } = state;
  const currentVoters = members.filter((member) => member.role === "voter");
  const promotable = members.find(({ id, role }) =>
    role === "learner" && !isUnresponsive(id) && !isLeaving(id) &&
    isCaughtUp(state, { id, maxLagEntries })
  );
  const remove = (id: string) => members.filter((member) => member.id !== id);
  const others = currentVoters.filter(({ id }) => id !== selfId);
  const isExcess = currentVoters.length > voters;
  const lost = findLostVoter(state);
  // One of an even number of voters less lowers the majority; of an odd one it doesn't.
  const isEven = currentVoters.length % 2 === 0;
  if (lost && (promotable || isExcess || isEven)) return remove(lost.id);
  const isComplete = currentVoters.length >= voters;
  const unresponsive = others.find(({ id }) => isUnresponsive(id));
  if (unresponsive && isComplete && (promotable || isExcess)) {
    return remove(unresponsive.id);
  }
  const leaving = others.find(({ id }) => isLeaving(id));
  if (isExcess) return leaving && remove(leaving.id);
  if (!promotable || (isComplete && !leaving)) return undefined;
  return members.map((m) =>
    m.id === promotable.id ? { ...m, role: "voter" } : m
  );
}

/**
 * Checks whether a member holds nearly all committed entries.
 *
 * @param state - The leader's state.
 * @param options - The member, and the number of entries that it may lack.
 * @returns Whether the member has caught up.
 * @throws Nothing.
 * @example
 * isCaughtUp(state, { id: "vm-2.first", maxLagEntries: 64 });
 */
export function isCaughtUp(
  state: QuorumState,
  options: { readonly id: string; readonly maxLagEntries: number },
): boolean {
  const progress = state.peers[options.id];
  if (!progress) return false;
  return progress.matchIndex + options.maxLagEntries >= state.commitIndex &&
    progress.matchIndex > 0;
}
