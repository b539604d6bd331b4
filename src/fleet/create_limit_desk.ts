/**
 * The leader's part of the rate limits that upstreams name: which are in force, and
 * who may send when.
 *
 * A limit holds for all gateways together, and one gateway knows nothing of what the
 * others send. Shares of a limit are either too small for whoever is asked for more,
 * or add up to a burst; so each send is granted by one bucket for each upstream.
 *
 * @module
 */

import { forgetOldest } from "../collections/index.ts";
import { takeToken, type TokenBucket } from "../limits/index.ts";
import type { Logger } from "../logs/index.ts";
import type {
  GrantCounts,
  LimitReport,
  SendGrants,
  ToldLimit,
} from "./messages.ts";

/** The rate limits in force, and the grants of sends. */
export interface LimitDesk {
  /** Takes a limit that was read in an upstream's answer. */
  take(report: LimitReport): void;
  /** Grants as many of the sends that are asked for as the limits allow now. */
  grant(counts: GrantCounts): SendGrants;
  /** All limits in force. */
  list(): readonly ToldLimit[];
  /** Forgets all limits: gateways tell a new leader what they know. */
  reset(): void;
}

/** What the desk needs of its program. */
export interface CreateLimitDeskOptions {
  /** Called with each limit that comes into force, changes or ends. */
  readonly publish: (limit: ToldLimit) => void;
  /**
   * Version of the first limit. No other leader may use it for another limit of the
   * same upstream.
   */
  readonly firstVersion: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
}

/**
 * Requests a second that are granted whatever the limit: an upstream that takes none
 * is asked now and then, as only an answer tells the end of its limit.
 */
export const PROBE_RATE_PER_S = 0.1;

/** Seconds of a limit that may be spent in one moment. */
const BURST_S = 0.4;

/** Limits that are kept; the oldest are forgotten first. */
const MAX_LIMITS = 5_000;

interface Limit extends ToldLimit {
  readonly limitPerS: number;
  bucket: TokenBucket;
}

/**
 * Makes the desk; nothing is limited at first.
 *
 * @param options - Who is told, the time and logs.
 * @returns The desk.
 * @throws Nothing.
 * @example
 * const desk = createLimitDesk({ publish, firstVersion: Date.now(), now, log });
 */
export function createLimitDesk(options: CreateLimitDeskOptions): LimitDesk {
  const { publish, now, log } = options;
  const limits = new Map<string, Limit>();
  let nextVersion = options.firstVersion;

  function put(engineId: string, limitPerS: number): ToldLimit {
    const version = nextVersion++;
    // It begins empty: what was sent before is not known.
    const bucket = limits.get(engineId)?.bucket ??
      { tokens: 0, updatedMs: now() };
    limits.delete(engineId);
    limits.set(engineId, { engineId, limitPerS, version, bucket });
    forgetOldest(limits, MAX_LIMITS);
    return { engineId, limitPerS, version };
  }

  function lift(engineId: string): ToldLimit {
    limits.delete(engineId);
    return { engineId, limitPerS: null, version: nextVersion++ };
  }

  function grantOne(engineId: string, asked: number): SendGrants[number] {
    const limit = limits.get(engineId);
    if (!limit) return { engineId, count: asked, retryAfterMs: 0 };
    const ratePerS = Math.max(PROBE_RATE_PER_S, limit.limitPerS);
    const burst = Math.max(1, BURST_S * ratePerS);
    for (let count = 0; count < asked; count++) {
      const taken = takeToken(limit.bucket, { nowMs: now(), ratePerS, burst });
      limit.bucket = taken.bucket;
      if (!taken.admitted) {
        const retryAfterMs = Math.ceil(taken.retryAfterMs);
        return { engineId, count, retryAfterMs };
      }
    }
    return { engineId, count: asked, retryAfterMs: 0 };
  }

  return {
    take({ engineId, limitPerS: reported, knownVersion }) {
      const known = limits.get(engineId);
      const limitPerS = reported ?? Infinity;
      const knownPerS = known?.limitPerS ?? Infinity;
      if (limitPerS === knownPerS) return;
      // A limit ends or grows only by an answer to a request that was sent by
      // someone who knew it: any other answer may be older than the limit.
      if (limitPerS > knownPerS && knownVersion !== known?.version) return;
      const told = reported === null ? lift(engineId) : put(engineId, reported);
      log("limitInForce", { ...told });
      publish(told);
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
