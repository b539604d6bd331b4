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
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
}

/** Keeps enough voters in the quorum. */
export interface MemberKeeper {
  /** Makes the next single change, if one is due; for the leader only. */
  run(): Promise<void>;
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
  let changing = false;
  return {
    async run() {
      if (changing) return;
      const state = replica.getState();
      const isSilent = (id: string) =>
        now() - (state.peers[id]?.ackedSentMs ?? -Infinity) > silenceMs;
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
