/**
 * A clock for heartbeat timeouts that pauses while no upstream's heartbeat arrives.
 *
 * The heartbeats of all upstreams arrive over few paths: the control processes that
 * forward them, and their connections to the leader. If no heartbeat arrives at all,
 * such a path is partitioned or slow, and a missing heartbeat says nothing about any
 * single upstream.
 *
 * @module
 */

/** A clock that pauses while no heartbeat arrives. */
export interface HeartbeatClock {
  /** Ms for which heartbeats arrived; never decreases. */
  now(): number;
  /** Records a heartbeat of any upstream. */
  recordHeartbeat(): void;
}

/** Options of {@link createHeartbeatClock}. */
export interface CreateHeartbeatClockOptions {
  /** Ms for which heartbeats could be received. */
  readonly now: () => number;
  /** Ms without any heartbeat after which the clock pauses. */
  readonly pauseAfterMs: number;
  /** Ms of pause after which it goes on anyway: all upstreams may have failed. */
  readonly maxPauseMs: number;
}

/**
 * Creates the clock, running.
 *
 * @param options - The clock that it follows, and when it pauses.
 * @returns The clock.
 * @throws Nothing.
 * @example
 * const clock = createHeartbeatClock({ now, pauseAfterMs: 750, maxPauseMs: 3_900 });
 */
export function createHeartbeatClock(
  options: CreateHeartbeatClockOptions,
): HeartbeatClock {
  const { now, pauseAfterMs: thresholdMs, maxPauseMs: limitMs } = options;
  let lastHeartbeatMs = now();
  // Total duration of the pauses that had ended by the newest heartbeat.
  let totalPauseMs = 0;

  function getPauseMs(): number {
    return Math.min(
      limitMs,
      Math.max(0, now() - lastHeartbeatMs - thresholdMs),
    );
  }

  return {
    now: () => now() - totalPauseMs - getPauseMs(),
    recordHeartbeat() {
      totalPauseMs += getPauseMs();
      lastHeartbeatMs = now();
    },
  };
}
