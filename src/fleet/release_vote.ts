/**
 * Gives up a replica's vote before a planned stop.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Replica } from "../control/index.ts";
import type { FleetCall, FleetReply } from "./messages.ts";

/** Longest time, in ms, that a planned stop waits for its vote to be taken over. */
const RELEASE_TIMEOUT_MS = 1_500;

/** Ms between two requests: a new leader changes no members in its first moments. */
const RETRY_INTERVAL_MS = 50;

/** Dependencies of {@link releaseVote}. */
export interface ReleaseVoteOptions {
  readonly replica: Pick<Replica, "getState">;
  /** Sends a call to the leader. */
  readonly call: (call: FleetCall) => Promise<FleetReply>;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/**
 * Asks the leader to pass this replica's vote on to a learner. Without one, nothing
 * is asked for: the replica may return, and fewer voters would tolerate less.
 *
 * Otherwise the learner would get a vote only after the leader has missed this replica
 * for some time, in which the next loss may be one too many. A replica that returns
 * joins again as a learner.
 *
 * @param options - The replica, and how to reach the leader.
 * @returns A promise that resolves once the vote is passed on or the timeout has
 * passed.
 * @throws Nothing.
 * @example
 * await releaseVote({ replica, call, now });
 */
export async function releaseVote(options: ReleaseVoteOptions): Promise<void> {
  const { replica, call, now } = options;
  const { selfId } = replica.getState();
  const deadlineMs = now() + RELEASE_TIMEOUT_MS;
  while (hasReplacement(options) && now() < deadlineMs) {
    const reply = await call({ type: "releaseVote", replicaId: selfId });
    if (reply.type === "done") return;
    await sleep(RETRY_INTERVAL_MS);
  }
}

function hasReplacement({ replica }: ReleaseVoteOptions): boolean {
  const { members, selfId } = replica.getState();
  return members.some(({ id, role }) => id === selfId && role === "voter") &&
    members.some(({ role }) => role === "learner");
}
