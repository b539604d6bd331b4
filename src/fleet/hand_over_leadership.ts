/**
 * Transfers leadership to another voter before a planned stop of the leader.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Replica } from "../control/index.ts";

/** Longest time, in ms, that a planned stop waits for another leader. */
const HANDOVER_TIMEOUT_MS = 1_000;

/** Ms between two checks of the replica's role. */
const POLL_INTERVAL_MS = 10;

/**
 * Asks another voter to take over, and waits until this replica has stepped down or
 * the timeout has passed. Does nothing on a replica that doesn't lead.
 *
 * @param replica - The replica that may be the leader.
 * @returns A promise that resolves once the replica no longer leads or the timeout has
 * passed.
 * @throws Nothing.
 * @example
 * await handOverLeadership(replica);
 */
export async function handOverLeadership(
  replica: Pick<Replica, "getState" | "transferLeadership">,
): Promise<void> {
  if (replica.getState().role !== "leader") return;
  replica.transferLeadership();
  const deadlineMs = performance.now() + HANDOVER_TIMEOUT_MS;
  while (
    replica.getState().role === "leader" && performance.now() < deadlineMs
  ) {
    await sleep(POLL_INTERVAL_MS);
  }
}
