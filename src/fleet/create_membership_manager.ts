/**
 * Keeps enough voters in the quorum.
 *
 * @module
 */

import type { Replica } from "../control/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  countToleratedLosses,
  planVoterChange,
  type QuorumState,
} from "../quorum/index.ts";

/** Dependencies of {@link createMembershipManager}. */
export interface CreateMembershipManagerOptions {
  readonly replica: Replica;
  /** Number of voters that tolerates the expected failures. */
  readonly voters: number;
  /** Ms without a response after which a voter may be replaced. */
  readonly responseTimeoutMs: number;
  /** Ms for which this leader was able to receive responses of the members. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "gauge">;
}

/** Keeps enough voters in the quorum. */
export interface MembershipManager {
  /** Records which members have responded since the last call; for the leader only. */
  observe(): void;
  /** Makes the next membership change, if one is due; for the leader only. */
  run(): Promise<void>;
  /** Clears the recorded responses when this process becomes leader. */
  reset(): void;
}

interface MemberResponse {
  /** Send time of the newest message that it acknowledged, by the quorum's clock. */
  readonly ackedSentMs: number;
  readonly receivedMs: number;
}

/**
 * Creates the manager.
 *
 * @param options - The replica and the desired number of voters.
 * @returns The manager.
 * @throws Nothing.
 * @example
 * await createMembershipManager(options).run();
 */
export function createMembershipManager(
  options: CreateMembershipManagerOptions,
): MembershipManager {
  const { replica, voters, responseTimeoutMs, now, log } = options;
  const responses = new Map<string, MemberResponse>();
  let isChanging = false;
  let toleratedLosses: number | undefined;

  // A member that has never responded counts as unresponsive at once.
  function isUnresponsive(id: string): boolean {
    return now() - (responses.get(id)?.receivedMs ?? -Infinity) >
      responseTimeoutMs;
  }

  function reportToleratedLosses(state: QuorumState): void {
    const losses = countToleratedLosses(state, { isUnresponsive });
    options.metrics.gauge("quorum.tolerated_losses", losses);
    if (losses === toleratedLosses) return;
    toleratedLosses = losses;
    const voters = state.members.filter(({ role }) => role === "voter");
    log("toleratedLossesChanged", {
      losses,
      voters: voters.map(({ id }) => id),
      unresponsive: voters.map(({ id }) => id)
        .filter((id) => id !== state.selfId && isUnresponsive(id)),
    });
  }

  return {
    observe() {
      const state = replica.getState();
      const { members, peers } = state;
      for (const { id } of members) {
        const ackedSentMs = peers[id]?.ackedSentMs ?? -1;
        if (responses.get(id)?.ackedSentMs === ackedSentMs) continue;
        responses.set(id, { ackedSentMs, receivedMs: now() });
      }
      reportToleratedLosses(state);
    },
    reset() {
      responses.clear();
      toleratedLosses = undefined;
    },
    async run() {
      if (isChanging) return;
      const state = replica.getState();
      const members = planVoterChange(state, {
        voters,
        isUnresponsive,
      });
      if (!members) return;
      isChanging = true;
      log("membersChanged", {
        members: members.map(({ id, role }) => `${id}:${role}`),
      });
      await replica.changeMembers(members)
        .catch((error) => log("membersNotChanged", { error }));
      isChanging = false;
    },
  };
}
