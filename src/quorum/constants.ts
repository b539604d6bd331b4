/**
 * The quorum's constants and how each was come by.
 *
 * @module
 */

import type { QuorumTiming } from "./types.ts";

/**
 * Default times. The lease is a fifth shorter than the election timeout, which
 * covers clocks that run up to a tenth fast and a tenth slow. Heartbeats are an
 * eighth of the timeout, so that several may be lost before an election. A dead
 * leader is noticed within timeout plus jitter: 400 to 600 ms.
 */
export const DEFAULT_QUORUM_TIMING: QuorumTiming = {
  electionTimeoutMs: 400,
  electionJitterMs: 200,
  heartbeatIntervalMs: 50,
  leaseMs: 320,
};

/** Entries in one append request, at most; bounds one message. */
export const MAX_APPEND_ENTRIES = 256;

/** Ms after which a snapshot that nobody answered is sent again. */
export const SNAPSHOT_RESEND_MS = 5_000;

/** Entries kept behind a snapshot, so that a slow follower needs no transfer. */
export const TRAILING_ENTRIES = 256;
