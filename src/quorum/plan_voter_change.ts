/**
 * Plans membership changes that replace failed voters by any learners that are
 * available.
 *
 * @module
 */

import type { Member, QuorumState } from "./types.ts";

/** The target number of voters, and which members are unresponsive. */
export interface PlanVoterChangeOptions {
  /** Target number of voters. */
  readonly voters: number;
  /** Whether a member has not answered within its timeout. */
  readonly isUnresponsive: (id: string) => boolean;
  /** Maximum number of committed entries that a promoted learner may lack. */
  readonly maxLagEntries?: number;
}

/**
 * Plans the next membership change; each change affects one member. A learner
 * that has caught up is promoted if a voter is missing or unresponsive. An
 * unresponsive voter is removed only while there are more voters than required.
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
  if (state.role !== "leader") return undefined;
  if (state.membersIndex > state.commitIndex) return undefined;
  const { members, selfId } = state;
  const currentVoters = members.filter((member) => member.role === "voter");
  const unresponsive = currentVoters.filter(({ id }) =>
    id !== selfId && isUnresponsive(id)
  );
  const promotable = members.find(({ id, role }) =>
    role === "learner" && !isUnresponsive(id) &&
    isCaughtUp(state, { id, maxLagEntries })
  );
  const isVoterNeeded = currentVoters.length < voters ||
    (unresponsive.length > 0 && currentVoters.length <= voters);
  if (promotable && isVoterNeeded) {
    return members.map((m) =>
      m.id === promotable.id ? { ...m, role: "voter" } : m
    );
  }
  const excess = currentVoters.length > voters ? unresponsive[0] : undefined;
  if (!excess) return undefined;
  return members.filter((member) => member.id !== excess.id);
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
