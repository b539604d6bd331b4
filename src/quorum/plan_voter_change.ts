/**
 * The next single change of a membership that replaces lost voters by
 * whichever replicas are there.
 *
 * @module
 */

import type { Member, QuorumState } from "./types.ts";

/** How many voters there are to be, and who is silent. */
export interface PlanVoterChangeOptions {
  /** Voters that the cluster is meant to have. */
  readonly voters: number;
  /** Whether a member has not answered for too long. */
  readonly isSilent: (id: string) => boolean;
  /** Entries that a learner may lack and still become a voter. */
  readonly maxLagEntries?: number;
}

/**
 * Plans the next change of membership, one member at a time: a learner that
 * has caught up becomes a voter where voters are missing or silent; a silent
 * voter goes only where enough others are left.
 *
 * @param state - The leader's state.
 * @param options - How many voters there are to be, and who is silent.
 * @returns The next members, or undefined where nothing is to change.
 * @throws Nothing.
 * @example
 * const members = planVoterChange(state, { voters: 3, isSilent });
 */
export function planVoterChange(
  state: QuorumState,
  options: PlanVoterChangeOptions,
): readonly Member[] | undefined {
  const { voters, isSilent, maxLagEntries = 64 } = options;
  if (state.role !== "leader") return undefined;
  if (state.membersIndex > state.commitIndex) return undefined;
  const { members, selfId } = state;
  const present = members.filter((member) => member.role === "voter");
  const silent = present.filter(({ id }) => id !== selfId && isSilent(id));
  const ready = members.find(({ id, role }) =>
    role === "learner" && !isSilent(id) &&
    isCaughtUp(state, { id, maxLagEntries })
  );
  const isWanted = present.length < voters ||
    (silent.length > 0 && present.length <= voters);
  if (ready && isWanted) {
    return members.map((m) => m.id === ready.id ? { ...m, role: "voter" } : m);
  }
  const superfluous = present.length > voters ? silent[0] : undefined;
  if (!superfluous) return undefined;
  return members.filter((member) => member.id !== superfluous.id);
}

/**
 * Tells whether a member holds almost all that is committed.
 *
 * @param state - The leader's state.
 * @param options - The member, and the entries that it may lack.
 * @returns Whether it has caught up.
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
