/**
 * Ends a leader's time before its process stops.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Replica } from "../control/index.ts";

/** Ms that a planned stop waits for another leader. */
const HANDOVER_TIMEOUT_MS = 1_000;

/** Ms between two looks whether another one leads. */
const POLL_MS = 10;

/**
 * Asks another voter to lead, and waits until it does or for a moment at most.
 *
 * @param replica - The replica that may lead.
 * @returns A promise that resolves once it leads no more, or the time is over.
 * @throws Nothing.
 * @example
 * await handOver(replica);
 */
export async function handOver(
  replica: Pick<Replica, "getState" | "transferLeadership">,
): Promise<void> {
  if (replica.getState().role !== "leader") return;
  replica.transferLeadership();
  const untilMs = performance.now() + HANDOVER_TIMEOUT_MS;
  while (replica.getState().role === "leader" && performance.now() < untilMs) {
    await sleep(POLL_MS);
  }
}
