/**
 * Notices that upstreams gave in their responses to this gateway: requests to back off,
 * and that they are leaving. A notice belongs to one incarnation of an upstream and
 * stays in force whatever the leader reports of it meanwhile.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";
import type { EngineNotice } from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** Notices of upstreams, by incarnation. */
export interface EngineNotices {
  /** Records a notice that an upstream gave in a response. */
  record(engineId: string, notice: EngineNotice): void;
  /** Remaining ms of an upstream's back-off; 0 where none is in force. */
  getBackOffLeftMs(engineId: string): number;
  /**
   * Whether an upstream is backed off, or has as many pending requests as it may have
   * right after a back-off.
   */
  isBackedOff(engineId: string): boolean;
  /** Whether an upstream has announced that it is leaving. */
  isLeaving(engineId: string): boolean;
  /** Incarnations that have announced that they are leaving. */
  listLeaving(): readonly string[];
  /** Whether an upstream may be probed now; counts the probe. */
  acquireProbe(engineId: string): boolean;
  /**
   * Counts a request that is sent to an upstream. The function returned is called once
   * it has responded, or once it is known that it won't.
   */
  beginSend(
    engineId: string,
  ): (answer: { readonly isAccepted: boolean }) => void;
  /** Number of upstreams whose back-off is running. */
  countBackedOff(): number;
}

/** Dependencies of the notices. */
export interface CreateEngineNoticesOptions {
  /**
   * Monotonic time, in ms, that doesn't count suspensions. A clock that does may take a
   * step of the time of day for a suspension, and would end a back-off too soon.
   */
  readonly steadyNow: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "count">;
  /**
   * How gateways return after a back-off; by default with jitter, and one request
   * first.
   */
  readonly slowStart?: SlowStart;
}

/** How gateways return to an upstream after a back-off. */
export interface SlowStart {
  /** Upper bound of the random extension of a back-off, as a share of its length. */
  readonly jitterShare: number;
  /** Requests that may be pending at first; each one accepted doubles the limit. */
  readonly initialWindow: number;
}

/** Window from which on an upstream is no longer limited. */
const MAX_WINDOW = 16;

/** Leaving incarnations that are kept; the oldest are dropped first. */
const MAX_LEAVING = 5_000;

/** Probes allowed during a back-off, to find out whether the upstream still exists. */
const PROBES_PER_BACK_OFF = 1;

/**
 * Gateways that were asked to back off at the same moment return at different moments,
 * and each with a single request first. In a model of 11 gateways and 3 upstreams at
 * 0.8 of their capacity, 0.44 of the requests are answered in time where all return at
 * once, 0.57 with jitter, 0.73 with one request first, 0.77 with both
 * (npm run measure -- rest).
 */
const DEFAULT_SLOW_START: SlowStart = { jitterShare: 0.1, initialWindow: 1 };

/**
 * Ms after its end at which a back-off is dropped, whether or not requests were sent.
 */
const RETENTION_MS = 60_000;

interface BackOff {
  /** Steady time, in ms, at which the back-off ends. */
  endMs: number;
  /** Requests that may be pending once the back-off has ended. */
  window: number;
  /** Requests without a response, of those sent since the back-off was requested. */
  pending: number;
  probesLeft: number;
}

/**
 * Creates an empty record of notices.
 *
 * @param options - The clock, the random source, log and metrics.
 * @returns The notices.
 * @throws Nothing.
 * @example
 * const notices = createEngineNotices({ steadyNow, random, log, metrics });
 */
export function createEngineNotices(
  options: CreateEngineNoticesOptions,
): EngineNotices {
  const {
    steadyNow,
    random,
    log,
    metrics,
    slowStart = DEFAULT_SLOW_START,
  } = options;
  const backOffs = new Map<string, BackOff>();
  const leaving = new Set<string>();

  function isRunning({ endMs }: BackOff): boolean {
    return endMs > steadyNow();
  }

  function getBackOff(engineId: string): BackOff {
    const known = backOffs.get(engineId);
    if (known) return known;
    const backOff = { endMs: 0, window: 0, pending: 0, probesLeft: 0 };
    backOffs.set(engineId, backOff);
    return backOff;
  }

  function deleteExpired(): void {
    const oldestMs = steadyNow() - RETENTION_MS;
    for (const [engineId, { endMs }] of backOffs) {
      if (endMs < oldestMs) backOffs.delete(engineId);
    }
  }

  function recordBackOff(engineId: string, backOffMs: number): void {
    deleteExpired();
    const jitterMs = backOffMs * slowStart.jitterShare * random();
    const backOff = getBackOff(engineId);
    if (!isRunning(backOff)) backOff.probesLeft = PROBES_PER_BACK_OFF;
    // A shorter back-off that is requested later doesn't end a longer one.
    backOff.endMs = Math.max(backOff.endMs, steadyNow() + backOffMs + jitterMs);
    backOff.window = slowStart.initialWindow;
    metrics.count("engines.rests_asked");
    log("engineAsksForBackOff", { engineId, backOffMs });
  }

  function recordLeaving(engineId: string): void {
    if (leaving.has(engineId)) return;
    leaving.add(engineId);
    evictOldest(leaving, MAX_LEAVING);
    log("engineSaysLeaving", { engineId });
  }

  // A response to a request sent after an earlier back-off doesn't widen a later one.
  function widenWindow(engineId: string, backOff: BackOff): void {
    backOff.window *= 2;
    const isNewest = backOffs.get(engineId) === backOff;
    if (isNewest && backOff.window >= MAX_WINDOW) backOffs.delete(engineId);
  }

  return {
    record(engineId, { backOffMs, isLeaving }) {
      if (isLeaving) recordLeaving(engineId);
      if (backOffMs !== undefined) recordBackOff(engineId, backOffMs);
    },
    getBackOffLeftMs(engineId) {
      const endMs = backOffs.get(engineId)?.endMs ?? -Infinity;
      return Math.max(0, endMs - steadyNow());
    },
    isBackedOff(engineId) {
      const backOff = backOffs.get(engineId);
      if (!backOff) return false;
      return isRunning(backOff) || backOff.pending >= backOff.window;
    },
    isLeaving: (engineId) => leaving.has(engineId),
    listLeaving: () => [...leaving],
    acquireProbe(engineId) {
      const backOff = backOffs.get(engineId);
      if (!backOff || !isRunning(backOff)) return true;
      if (backOff.probesLeft === 0) return false;
      backOff.probesLeft -= 1;
      return true;
    },
    beginSend(engineId) {
      const backOff = backOffs.get(engineId);
      if (!backOff) return () => {};
      backOff.pending += 1;
      let isAnswered = false;
      return ({ isAccepted }) => {
        if (isAnswered) return;
        isAnswered = true;
        backOff.pending -= 1;
        if (isAccepted && !isRunning(backOff)) widenWindow(engineId, backOff);
      };
    },
    countBackedOff: () => [...backOffs.values()].filter(isRunning).length,
  };
}
