/**
 * Tells whether an upstream received a request that was passed on to a peer.
 *
 * @module
 */

import type { PeerAnswerMeaning } from "./classify_peer_answer.ts";

/**
 * Tells whether an upstream may have received a request that was passed on. Upstreams
 * count a request that they reject like one that they run.
 *
 * @param meaning - What the peer's answer means.
 * @returns Whether the next attempt is a retry.
 * @throws Nothing.
 * @example
 * charge.noteEnd({ wasSent: mayHaveBeenSent(meaning) });
 */
export function mayHaveBeenSent(meaning: PeerAnswerMeaning): boolean {
  if (meaning.type === "answered" || meaning.type === "unknown") return true;
  return meaning.wasSent;
}
