/**
 * Keeps enough voters in the quorum.
 *
 * @module
 */

import { createListeningClock } from "../clocks/index.ts";
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
  readonly replica: Pick<Replica, "getState" | "hasLease" | "changeMembers">;
  /** Number of voters that tolerates the expected failures. */
  readonly voters: number;
  /** Ms without a response after which a voter may be replaced. */
  readonly responseTimeoutMs: number;
  /** Ms between two rounds. */
  readonly tickIntervalMs: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "gauge">;
}

/** Keeps enough voters in the quorum. */
export interface MembershipManager {
  /**
   * Runs one round: records which members have responded and, on the leader, makes
   * the membership changes that are due.
   */
  tick(): Promise<void>;
  /**
   * Replaces a voter that is about to stop, and resolves with whether it is no voter any
   * more; for the leader only.
   */
  replace(id: string): Promise<boolean>;
  /**
   * Whether there have been enough voters at some time since this process leads. There
   * are too few for a moment while a lost voter is replaced, but that one could not
   * confirm anything before either.
   */
  hasHadEnoughVoters(): boolean;
  /** Clears the recorded responses when this process becomes leader. */
  reset(): void;
}

interface MemberResponse {
  /** Send time of the newest message that it acknowledged, by the quorum's clock. */
  readonly ackedSentMs: number;
  readonly receivedMs: number;
}

const NO_RESPONSE: MemberResponse = { ackedSentMs: -1, receivedMs: -Infinity };

function listVoterIds({ members }: QuorumState): string[] {
  return members.filter(({ role }) => role === "voter").map(({ id }) => id);
}

/**
 * Creates the manager.
 *
 * @param options - The replica and the desired number of voters.
 * @returns The manager.
 * @throws Nothing.
 * @example
 * await createMembershipManager(options).tick();
 */
export function createMembershipManager(
  options: CreateMembershipManagerOptions,
): MembershipManager {
  const { replica, voters, responseTimeoutMs, log } = options;
  // Messages wait unread while this process is suspended, so that time does not count
  // as silence of the members.
  const listening = createListeningClock(options);
  const responses = new Map<string, MemberResponse>();
  const leaving = new Set<string>();
  let leadingSinceMs = 0;
  let formerLeader:
    | { id: string; contactMs: number; heardMs: number }
    | undefined;
  let changing: Promise<void> | undefined;
  let toleratedLosses: number | undefined;
  let hasHadEnough = false;

  function isUnresponsive(id: string): boolean {
    const heardMs = responses.get(id)?.receivedMs ?? leadingSinceMs;
    return listening.now() - heardMs > responseTimeoutMs;
  }

  function recordResponses({ members, peers }: QuorumState): void {
    for (const { id } of members) {
      const ackedSentMs = peers[id]?.ackedSentMs ?? -1;
      if (ackedSentMs === (responses.get(id)?.ackedSentMs ?? -1)) continue;
      responses.set(id, { ackedSentMs, receivedMs: listening.now() });
    }
  }

  // Stricter than the time-out of a replacement: a voter that is silent now does not count
  // towards a majority if another one is lost now.
  function isSilent(id: string, { timing }: QuorumState): boolean {
    const { ackedSentMs, receivedMs } = responses.get(id) ?? NO_RESPONSE;
    return ackedSentMs < 0 ||
      listening.now() - receivedMs > timing.electionTimeoutMs;
  }

  function reportToleratedLosses(state: QuorumState): void {
    const losses = countToleratedLosses(state, {
      isUnresponsive: (id) => isSilent(id, state),
    });
    options.metrics.gauge("quorum.tolerated_losses", losses);
    if (losses === toleratedLosses) return;
    toleratedLosses = losses;
    const ids = listVoterIds(state);
    log("toleratedLossesChanged", {
      losses,
      voters: ids,
      unresponsive: ids.filter((id) =>
        id !== state.selfId && isSilent(id, state)
      ),
    });
  }

  // Without a pause between two changes: until the last one is made, another loss may
  // leave no majority.
  async function makeDueChanges(): Promise<void> {
    try {
      for (;;) {
        const members = planVoterChange(replica.getState(), {
          voters,
          isUnresponsive,
          isLeaving: (id) => leaving.has(id),
        });
        if (!members) return;
        log("membersChanged", {
          members: members.map(({ id, role }) => `${id}:${role}`),
        });
        await replica.changeMembers(members);
      }
    } catch (error) {
      log("membersNotChanged", { error });
    }
  }

  function startChanges(): Promise<void> {
    changing ??= makeDueChanges().finally(() => changing = undefined);
    return changing;
  }

  // A new leader has waited for the former one before the election, and that silence
  // counts too.
  function recordLeader({ leaderId, leaderContactMs }: QuorumState): void {
    if (leaderId === null || formerLeader?.contactMs === leaderContactMs) {
      return;
    }
    formerLeader = {
      id: leaderId,
      contactMs: leaderContactMs,
      heardMs: listening.now(),
    };
  }

  return {
    async tick() {
      listening.tick();
      const state = replica.getState();
      if (state.role !== "leader") recordLeader(state);
      if (state.role !== "leader" || !replica.hasLease()) {
        options.metrics.gauge("quorum.tolerated_losses", 0);
        return;
      }
      hasHadEnough ||= listVoterIds(state).length >= voters;
      recordResponses(state);
      reportToleratedLosses(state);
      await startChanges();
    },
    async replace(id) {
      leaving.add(id);
      try {
        await changing;
        await startChanges();
      } finally {
        leaving.delete(id);
      }
      return replica.getState().members
        .every((member) => member.id !== id || member.role !== "voter");
    },
    hasHadEnoughVoters: () => hasHadEnough,
    reset() {
      hasHadEnough = false;
      leadingSinceMs = listening.now();
      responses.clear();
      const { votes } = replica.getState();
      if (formerLeader && votes[formerLeader.id] === undefined) {
        const { id, heardMs } = formerLeader;
        responses.set(id, { ackedSentMs: -1, receivedMs: heardMs });
      }
      formerLeader = undefined;
      toleratedLosses = undefined;
    },
  };
}
