/**
 * Plans membership changes towards the configured control VMs.
 *
 * @module
 */

import { findLostVoter } from "./find_lost_voter.ts";
import { isCaughtUp } from "./plan_voter_change.ts";
import type { Member, QuorumState } from "./types.ts";

/** The VMs that run a voter, and how far a learner may lag. */
export interface PlanMembersChangeOptions {
  /** VMs configured as control VMs. */
  readonly controlVms: readonly string[];
  /** Maximum number of committed entries that a promoted learner may lack. */
  readonly maxLagEntries?: number;
}

/**
 * Plans the next membership change; each change affects one member.
 *
 * A learner that has caught up is promoted to voter. A voter whose data folder was
 * lost is removed before its replacement is promoted: the replacement may be lost too,
 * and then two of four voters would be. Only replicas on the configured control VMs
 * are promoted.
 *
 * @param state - The leader's state.
 * @param options - The control VMs and the permitted lag.
 * @returns The next members, or undefined if no change is due.
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
  const promotable = members.find((member) =>
    member.role === "learner" && controlVms.includes(member.vm) &&
    isCaughtUp(state, { id: member.id, maxLagEntries })
  );
  const lost = promotable && findLostVoter(state);
  if (lost) return members.filter((member) => member.id !== lost.id);
  if (promotable) {
    return members.map((m) =>
      m.id === promotable.id ? { ...m, role: "voter" } : m
    );
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
