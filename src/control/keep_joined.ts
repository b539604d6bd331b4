/**
 * Keeps a replica a member of its cluster.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { joinCluster, type JoinClusterOptions } from "./join_cluster.ts";

/** Options of {@link keepJoined}. */
export interface KeepJoinedOptions extends JoinClusterOptions {
  /** Time, in ms, since this replica led or was last contacted by a leader. */
  readonly getSilenceMs: () => number;
  /** Called before a replica that was a member requests to join again. */
  readonly onOutside?: () => void;
  /** Called when the replica has joined for the first time. */
  readonly onJoined?: () => void;
}

/**
 * Silence of the leader, in ms, after which a member may have been removed. Longer than
 * an election, in which no leader is heard either.
 */
export const OUTSIDE_TIMEOUT_MS = 1_000;

/** Interval, in ms, at which contact with the leader is checked. */
const CHECK_INTERVAL_MS = 250;

/**
 * Joins the cluster, and requests to join again whenever no leader is in contact: a
 * leader sends nothing to a replica that it has removed while it was down, so the
 * replica can't tell that from an outage. The request changes nothing for a member.
 *
 * A replica that returns keeps its id: it has lost neither its log nor its vote.
 *
 * @param options - This replica, the peers to ask, and the silence of the leader.
 * @returns A promise that resolves once the signal is aborted.
 * @throws Nothing.
 * @example
 * void keepJoined(options);
 */
export async function keepJoined(options: KeepJoinedOptions): Promise<void> {
  const { storage, signal } = options;
  while (!signal.aborted) {
    const isNew = storage.identity.clusterId === "";
    if (isNew || options.getSilenceMs() >= OUTSIDE_TIMEOUT_MS) {
      if (!isNew) options.onOutside?.();
      const hasJoined = await joinCluster(options);
      if (hasJoined && isNew) options.onJoined?.();
      // The leader's first message may take longer than the next check.
      await wait(OUTSIDE_TIMEOUT_MS, signal);
    }
    await wait(CHECK_INTERVAL_MS, signal);
  }
}

async function wait(ms: number, signal: AbortSignal): Promise<void> {
  // Rejects only when the signal is aborted, which ends the caller's loop.
  await sleep(ms, undefined, { signal }).catch(() => {});
}
