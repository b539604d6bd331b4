/**
 * Keeps enough voters in the quorum.
 *
 * @module
 */

import type { Replica } from "../control/index.ts";
import type { Logger } from "../logs/index.ts";
import { planVoterChange } from "../quorum/index.ts";

/** What the keeper needs of its program. */
export interface CreateMemberKeeperOptions {
  readonly replica: Replica;
  /** Voters that losses leave enough of. */
  readonly voters: number;
  /** Ms of silence after which a voter may be replaced. */
  readonly silenceMs: number;
  /** Ms for which this leader could hear the members. */
  readonly now: () => number;
  readonly log: Logger;
}

/** Keeps enough voters in the quorum. */
export interface MemberKeeper {
  /** Notes who has answered since the last look; for the leader only. */
  look(): void;
  /** Makes the next single change, if one is due; for the leader only. */
  run(): Promise<void>;
  /** Forgets who answered: this process leads anew. */
  reset(): void;
}

interface HeardMember {
  /** When the newest message was sent that it answered, by the quorum's clock. */
  readonly ackedSentMs: number;
  readonly heardMs: number;
}

/**
 * Makes the keeper.
 *
 * @param options - The replica and how many voters there are to be.
 * @returns The keeper.
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

  // A member that never answered is silent from the first look on.
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
