/**
 * The next single change of the quorum's membership.
 *
 * @module
 */

import { isCaughtUp } from "./plan_voter_change.ts";
import type { Member, QuorumState } from "./types.ts";

/** Which VMs are meant to hold a voter, and how far a learner may lag. */
export interface PlanMembersChangeOptions {
  /** VMs that the settings name as control VMs. */
  readonly controlVms: readonly string[];
  /** Entries that a learner may lack and still become a voter. */
  readonly maxLagEntries?: number;
}

/**
 * Plans the next change of membership, one member at a time.
 *
 * A learner that has caught up becomes a voter; an older replica of the same
 * VM, whose data folder is lost, is removed only after that. Only replicas of
 * the named control VMs become voters.
 *
 * @param state - The leader's state.
 * @param options - The control VMs and the lag that is allowed.
 * @returns The next members, or undefined where nothing is to change.
 * @throws Nothing.
 * @example
 * const members = planMembersChange(state, { controlVms: ["vm-1"] });
 */
export function planMembersChange(
  state: QuorumState,
  options: PlanMembersChangeOptions,
): readonly Member[] | undefined {
  const { controlVms, maxLagEntries = 64 } = options;
  if (state.role !== "leader") return undefined;
  if (state.membersIndex > state.commitIndex) return undefined;
  const { members } = state;
  const ready = members.find((member) =>
    member.role === "learner" && controlVms.includes(member.vm) &&
    isCaughtUp(state, { id: member.id, maxLagEntries })
  );
  if (ready) {
    return members.map((m) => m.id === ready.id ? { ...m, role: "voter" } : m);
  }
  const replaced = members.find((member, at) =>
    member.id !== state.selfId &&
    members.some((other, otherAt) =>
      otherAt > at && other.vm === member.vm && other.role === "voter"
    )
  );
  if (!replaced) return undefined;
  return members.filter((member) => member.id !== replaced.id);
}
