/**
 * Keeps enough voters in the quorum.
 *
 * @module
 */

import type { Replica } from "../control/index.ts";
import type { Logger } from "../logs/index.ts";
import { planVoterChange } from "../quorum/index.ts";

/** Dependencies of {@link createMemberKeeper}. */
export interface CreateMemberKeeperOptions {
  readonly replica: Replica;
  /** Number of voters that tolerates the expected failures. */
  readonly voters: number;
  /** Ms without a response after which a voter may be replaced. */
  readonly silenceMs: number;
  /** Ms for which this leader was able to receive responses of the members. */
  readonly now: () => number;
  readonly log: Logger;
}

/** Keeps enough voters in the quorum. */
export interface MemberKeeper {
  /** Records which members have responded since the last call; for the leader only. */
  look(): void;
  /** Makes the next membership change, if one is due; for the leader only. */
  run(): Promise<void>;
  /** Clears the recorded responses when this process becomes leader. */
  reset(): void;
}

interface HeardMember {
  /** Send time of the newest message that it acknowledged, by the quorum's clock. */
  readonly ackedSentMs: number;
  readonly heardMs: number;
}

/**
 * Creates the manager.
 *
 * @param options - The replica and the desired number of voters.
 * @returns The manager.
 * @throws Nothing.
 * @example
 * await createMemberKeeper(options).run();
 */
export function createMemberKeeper(
  options: CreateMemberKeeperOptions,
): MemberKeeper {
  const { replica, voters, silenceMs, now, log } = options;
  const heard = new Map<string, HeardMember>();
  let changing = false;

  // A member that has never responded counts as unresponsive at once.
  function isSilent(id: string): boolean {
    return now() - (heard.get(id)?.heardMs ?? -Infinity) > silenceMs;
  }

  return {
    look() {
      const { members, peers } = replica.getState();
      for (const { id } of members) {
        const ackedSentMs = peers[id]?.ackedSentMs ?? -1;
        if (heard.get(id)?.ackedSentMs === ackedSentMs) continue;
        heard.set(id, { ackedSentMs, heardMs: now() });
      }
    },
    reset: () => heard.clear(),
    async run() {
      if (changing) return;
      const state = replica.getState();
      const members = planVoterChange(state, { voters, isSilent });
      if (!members) return;
      changing = true;
      log("membersChanged", {
        members: members.map(({ id, role }) => `${id}:${role}`),
      });
      await replica.changeMembers(members)
        .catch((error) => log("membersNotChanged", { error }));
      changing = false;
    },
  };
}
