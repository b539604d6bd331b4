/**
 * The leader's part of rate limiting: which limits of upstreams are in force, and when
 * gateways may send.
 *
 * A limit holds for all gateways together, and a gateway doesn't know what the others
 * send. Fixed shares of a limit are either too small for a gateway with more traffic
 * or add up to a burst; so each send is granted from one token bucket per upstream.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";
import { takeToken, type TokenBucket } from "../limits/index.ts";
import type { Logger } from "../logs/index.ts";
import type {
  GrantCounts,
  LimitReport,
  PublishedLimit,
  SendGrants,
} from "./messages.ts";

/** Tracks the rate limits in force and grants sends. */
export interface LimitCoordinator {
  /** Handles a limit that a gateway read in an upstream's response. */
  take(report: LimitReport): void;
  /** Grants as many of the requested sends as the limits allow now. */
  grant(counts: GrantCounts): SendGrants;
  /** All limits in force. */
  list(): readonly PublishedLimit[];
  /** Removes all limits: gateways report the limits that they know to a new leader. */
  reset(): void;
}

/** Dependencies of {@link createLimitCoordinator}. */
export interface CreateLimitCoordinatorOptions {
  /** Called with each limit that comes into force, changes or ends. */
  readonly publish: (limit: PublishedLimit) => void;
  /**
   * Version of the first limit. No other leader may use the same version for another
   * limit of the same upstream.
   */
  readonly firstVersion: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
}

/**
 * Requests per second that are granted however low the limit is: an upstream with a
 * limit of 0 is still probed, as only a response can show that the limit has ended.
 */
export const PROBE_RATE_PER_S = 0.1;

/** Burst size of a bucket, in seconds of its rate. */
const BURST_S = 0.4;

/** Limits that are kept; the oldest are evicted first. */
const MAX_LIMITS = 5_000;

interface Limit extends PublishedLimit {
  readonly limitPerS: number;
  bucket: TokenBucket;
}

/**
 * Creates the coordinator, without limits.
 *
 * @param options - Where limits are published, the clock and the log.
 * @returns The coordinator.
 * @throws Nothing.
 * @example
 * const coordinator = createLimitCoordinator({ publish, firstVersion: Date.now(), now, log });
 */
export function createLimitCoordinator(
  options: CreateLimitCoordinatorOptions,
): LimitCoordinator {
  const { publish, now, log } = options;
  const limits = new Map<string, Limit>();
  let nextVersion = options.firstVersion;

  function setLimit(engineId: string, limitPerS: number): PublishedLimit {
    const version = nextVersion++;
    // The bucket starts empty: what was sent before is unknown.
    const bucket = limits.get(engineId)?.bucket ??
      { tokens: 0, updatedMs: now() };
    limits.delete(engineId);
    limits.set(engineId, { engineId, limitPerS, version, bucket });
    evictOldest(limits, MAX_LIMITS);
    return { engineId, limitPerS, version };
  }

  function removeLimit(engineId: string): PublishedLimit {
    limits.delete(engineId);
    return { engineId, limitPerS: null, version: nextVersion++ };
  }

  function grantOne(engineId: string, requested: number): SendGrants[number] {
    const limit = limits.get(engineId);
    if (!limit) return { engineId, count: requested, retryAfterMs: 0 };
    const ratePerS = Math.max(PROBE_RATE_PER_S, limit.limitPerS);
    const burst = Math.max(1, BURST_S * ratePerS);
    for (let count = 0; count < requested; count++) {
      const taken = takeToken(limit.bucket, { nowMs: now(), ratePerS, burst });
      limit.bucket = taken.bucket;
      if (!taken.admitted) {
        const retryAfterMs = Math.ceil(taken.retryAfterMs);
        return { engineId, count, retryAfterMs };
      }
    }
    return { engineId, count: requested, retryAfterMs: 0 };
  }

  return {
    take({ engineId, limitPerS: reported, knownVersion }) {
      const known = limits.get(engineId);
      const limitPerS = reported ?? Infinity;
      const knownPerS = known?.limitPerS ?? Infinity;
      if (limitPerS === knownPerS) return;
      // A limit is lifted or raised only by the response to a request whose sender
      // knew the limit: any other response may be older than the limit.
      if (limitPerS > knownPerS && knownVersion !== known?.version) return;
      const change = reported === null
        ? removeLimit(engineId)
        : setLimit(engineId, reported);
      log("limitInForce", { ...change });
      publish(change);
    },
    grant: (counts) =>
      Object.entries(counts).map(([engineId, count]) =>
        grantOne(engineId, count)
      ),
    list: () =>
      [...limits.values()].map(({ engineId, limitPerS, version }) => ({
        engineId,
        limitPerS,
        version,
      })),
    reset: () => limits.clear(),
  };
}
