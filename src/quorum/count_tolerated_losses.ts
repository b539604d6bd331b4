/**
 * Counts the further losses that the quorum tolerates.
 *
 * @module
 */

import type { QuorumState } from "./types.ts";

/** Options of {@link countToleratedLosses}. */
export interface CountToleratedLossesOptions {
  /** Whether a member has not answered within its timeout. */
  readonly isUnresponsive: (id: string) => boolean;
}

/**
 * Counts how many of the responsive voters can be lost while the others remain a
 * majority. Voters that are already gone still count towards the majority.
 *
 * @param state - The leader's state.
 * @param options - Which members are unresponsive.
 * @returns The number of losses; negative if the responsive voters are no majority.
 * @throws Nothing.
 * @example
 * countToleratedLosses(state, { isUnresponsive: () => false }); // 1 of 3 voters
 */
export function countToleratedLosses(
  state: QuorumState,
  options: CountToleratedLossesOptions,
): number {
  const { members, selfId } = state;
  const voters = members.filter(({ role }) => role === "voter");
  const responsive = voters.filter(({ id }) =>
    id === selfId || !options.isUnresponsive(id)
  );
  return responsive.length - (Math.floor(voters.length / 2) + 1);
}
