/**
 * Finds a voter whose disk is proven to be lost.
 *
 * @module
 */

import type { Member, QuorumState } from "./types.ts";

/**
 * Finds a voter whose VM runs a replica that has joined later, under another id. A
 * replica keeps its id as long as its data folder exists, so the voter never answers
 * again, however short its silence.
 *
 * The later replica counts only once it has answered this leader: its request to join
 * may have arrived late, after the VM had lost that data folder as well.
 *
 * @param state - The leader's state.
 * @returns The voter, or undefined if there is none.
 * @throws Nothing.
 * @example
 * const lost = findLostVoter(state);
 */
export function findLostVoter(state: QuorumState): Member | undefined {
  const { members, peers, selfId } = state;
  const hasAnswered = (id: string) =>
    id === selfId || (peers[id]?.ackedSentMs ?? -1) >= 0;
  return members.find(({ id, vm, role }, at) =>
    role === "voter" && id !== selfId &&
    members.some((later, laterAt) =>
      laterAt > at && later.vm === vm && hasAnswered(later.id)
    )
  );
}
