/**
 * Constants of the quorum protocol.
 *
 * @module
 */

import type { QuorumTiming } from "./types.ts";

/**
 * Default durations. The lease is 20 % shorter than the election timeout, which
 * tolerates clocks that run up to 10 % fast or slow. The heartbeat interval is
 * an eighth of the timeout, so that several heartbeats may be lost before an
 * election. A failed leader is detected within the timeout plus jitter: 400 to
 * 600 ms.
 */
export const DEFAULT_QUORUM_TIMING: QuorumTiming = {
  electionTimeoutMs: 400,
  electionJitterMs: 200,
  heartbeatIntervalMs: 50,
  leaseMs: 320,
};

/** Maximum number of entries per append request; bounds the message size. */
export const MAX_APPEND_ENTRIES = 256;

/**
 * Time, in ms, after which an unacknowledged snapshot is sent again. Messages of a stream
 * keep their order, so a copy that is sent too early costs bandwidth only.
 */
export const SNAPSHOT_RESEND_MS = 1_000;

/**
 * Entries kept in the log after a snapshot covers them, so that a slow follower
 * can catch up without a snapshot transfer.
 */
export const TRAILING_ENTRIES = 256;
