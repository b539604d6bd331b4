/**
 * The rate limits that upstreams announce, as known to a gateway, and the grants to
 * send requests within them.
 *
 * A limit of an upstream applies to all gateways together, so each send to a limited
 * upstream needs a grant from the leader (cf. quota servers such as Envoy's rate limit
 * quota service or Doorman). A gateway that can't reach the leader uses only a small
 * share of the limit.
 *
 * @module
 */

import type {
  GrantCounts,
  LeaderMessage,
  LimitReport,
  PublishedLimit,
} from "../fleet/index.ts";
import { takeToken, type TokenBucket } from "../limits/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** Permission to send one request to an upstream. */
export interface SendGrant {
  /** Whether the grant is still valid; checked once a connection is open. */
  isValid(): boolean;
  /** Returns the grant unused: nothing was sent. */
  release(): void;
}

/** The rate limits that upstreams announce, by upstream incarnation. */
export interface RateLimits {
  /** Applies a limit that an upstream announced in an answer. */
  noteAnswer(engineId: string, answer: AnnouncedLimit): void;
  /** Applies limits that the leader sent. */
  applyLimits(limits: readonly PublishedLimit[]): void;
  /** Applies all limits of a newly connected leader; those it lacks are reported to it. */
  syncLimits(limits: readonly PublishedLimit[]): void;
  applyGrants(message: LeaderMessage & { type: "grants" }): void;
  /** Limit, in requests per second from all gateways; Infinity if there is none. */
  getLimitPerS(engineId: string): number;
  /** Ms until a grant may be available; 0 if one is held, or may be requested now. */
  getWaitMs(engineId: string): number;
  /** Whether it is unlimited, or a grant is held or may be requested now. */
  maySend(engineId: string): boolean;
  /** Takes a grant to send a request; undefined if one has to be requested first. */
  takeGrant(engineId: string): SendGrant | undefined;
  /** Requests a grant from the leader; resolves on its answer or on time-out. */
  requestGrant(engineId: string): Promise<void>;
  /** Returns the limits not yet reported to the leader, and marks them as reported. */
  takeReports(): readonly LimitReport[];
  /** Incarnations of upstreams that are limited. */
  listLimited(): readonly string[];
}

/** The limit that an upstream announces in an answer. */
export interface AnnouncedLimit {
  /** Requests per second; Infinity if it announces no limit. */
  readonly limitPerS: number;
  /**
   * Send time, in ms, of the answered request; absent if the answer may be older than
   * the known limit, or does not answer a request.
   */
  readonly sentMs?: number;
}

/** What the limits need from their process. */
export interface CreateRateLimitsOptions {
  /** Requests grants from the leader; false if there is no session. */
  readonly requestGrants: (counts: GrantCounts, askedMs: number) => boolean;
  /** Called when a limit has to be reported to the leader. */
  readonly onReportDue: () => void;
  /**
   * Number of gateways that share a limit while the leader can't be reached; Infinity
   * while it is unknown.
   */
  readonly getGatewayCount: () => number;
  /** Monotonic time, in ms, that includes system suspends. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "count">;
}

/**
 * Time, in ms, from the request of a grant until the grant expires: a round trip to
 * the leader and a new connection to the upstream.
 */
const GRANT_MS = 500;

/** Time, in ms, for the leader's answer; after it the call tries another upstream. */
const LEADER_TIMEOUT_MS = 100;

/** Time, in ms, without requests to a leader that did not answer. */
const LEADER_BACK_OFF_MS = 300;

/** Share of a limit that all gateways together use without the leader. */
const LEADERLESS_SHARE = 0.5;

/** Most limits kept; the oldest are dropped first. */
const MAX_LIMITS = 5_000;

interface Limit {
  readonly limitPerS: number;
  /** The leader's version of the limit; absent until the leader sent one. */
  version?: number;
  /** When the limit became known here, in ms. */
  readonly knownSinceMs: number;
  /** Expiry, in ms, of each grant held. */
  grantsUntilMs: number[];
  /** Time, in ms, before which no grant is available. */
  noGrantUntilMs: number;
  /** Sends allowed while the leader can't be reached. */
  leaderlessBucket?: TokenBucket;
  waiting: (() => void)[];
}

/**
 * Creates the limits; no upstream is limited at first.
 *
 * @param options - The leader, the clock, logs and metrics.
 * @returns The limits.
 * @throws Nothing.
 * @example
 * const grant = limits.takeGrant(engineId);
 * if (!grant) await limits.requestGrant(engineId);
 */
export function createRateLimits(options: CreateRateLimitsOptions): RateLimits {
  const { now, log, metrics } = options;
  const limits = new Map<string, Limit>();
  const reports = new Map<string, LimitReport>();
  let requestedCounts: Record<string, number> = {};
  let isRequestScheduled = false;
  const pendingRequests = new Set<number>();
  let leaderBackOffUntilMs = -Infinity;

  const getLimitPerS = (engineId: string) =>
    limits.get(engineId)?.limitPerS ?? Infinity;

  function getWaitMs(engineId: string): number {
    const limit = limits.get(engineId);
    if (!limit) return 0;
    if (limit.grantsUntilMs.some((ms) => ms > now())) return 0;
    return Math.max(
      0,
      Math.max(limit.noGrantUntilMs, leaderBackOffUntilMs) - now(),
    );
  }

  function setLimit(
    engineId: string,
    { limitPerS, version }: Pick<Limit, "limitPerS" | "version">,
  ): void {
    const known = limits.get(engineId);
    const hasChanged = known?.limitPerS !== limitPerS;
    if (!hasChanged && known.version === version) return;
    const initial = {
      grantsUntilMs: [],
      noGrantUntilMs: -Infinity,
      waiting: [],
    };
    const knownSinceMs = now();
    limits.set(engineId, {
      ...initial,
      ...known,
      limitPerS,
      version,
      knownSinceMs,
    });
    if (limits.size > MAX_LIMITS) remove(limits.keys().next().value as string);
    if (hasChanged) log("engineLimited", { engineId, limitPerS, version });
  }

  function remove(engineId: string): void {
    const limit = limits.get(engineId);
    limits.delete(engineId);
    reports.delete(engineId);
    if (!limit) return;
    log("engineNotLimited", { engineId });
    wakeWaiters(limit);
  }

  function updateLimits(updates: readonly PublishedLimit[]): void {
    for (const { engineId, limitPerS, version } of updates) {
      if (limitPerS === null) remove(engineId);
      else setLimit(engineId, { limitPerS, version });
    }
  }

  function report(update: LimitReport): void {
    reports.set(update.engineId, update);
    options.onReportDue();
  }

  function wakeWaiters(limit: Limit): void {
    const { waiting } = limit;
    limit.waiting = [];
    waiting.forEach((onAnswer) => onAnswer());
  }

  function takeValidGrant(limit: Limit): number | undefined {
    limit.grantsUntilMs = limit.grantsUntilMs.filter((ms) => ms > now());
    return limit.grantsUntilMs.shift();
  }

  function makeGrant(engineId: string, untilMs: number): SendGrant {
    return {
      isValid: () => now() < untilMs,
      release: () => void limits.get(engineId)?.grantsUntilMs.push(untilMs),
    };
  }

  // Grants requested in the same event loop turn go into one message.
  function sendRequests(): void {
    isRequestScheduled = false;
    const counts = requestedCounts;
    requestedCounts = {};
    const askedMs = now();
    if (!options.requestGrants(counts, askedMs)) {
      return Object.keys(counts).forEach(grantWithoutLeader);
    }
    pendingRequests.add(askedMs);
    setTimeout(() => timeOutRequests(askedMs, counts), LEADER_TIMEOUT_MS);
  }

  function timeOutRequests(askedMs: number, counts: GrantCounts): void {
    if (!pendingRequests.delete(askedMs)) return;
    metrics.count("grants.unanswered");
    leaderBackOffUntilMs = now() + LEADER_BACK_OFF_MS;
    for (const engineId of Object.keys(counts)) {
      const limit = limits.get(engineId);
      if (limit) wakeWaiters(limit);
    }
  }

  // The bucket starts empty: the leader may just have granted the whole limit.
  function grantWithoutLeader(engineId: string): void {
    const limit = limits.get(engineId);
    if (!limit) return;
    const nowMs = now();
    const ratePerS = LEADERLESS_SHARE * limit.limitPerS /
      Math.max(1, options.getGatewayCount());
    const bucket = limit.leaderlessBucket ?? { tokens: 0, updatedMs: nowMs };
    const taken = takeToken(bucket, { nowMs, ratePerS, burst: 1 });
    limit.leaderlessBucket = taken.bucket;
    if (taken.admitted) limit.grantsUntilMs.push(nowMs + GRANT_MS);
    else limit.noGrantUntilMs = nowMs + Math.min(taken.retryAfterMs, GRANT_MS);
    wakeWaiters(limit);
  }

  return {
    noteAnswer(engineId, { limitPerS, sentMs }) {
      const known = limits.get(engineId);
      const knownPerS = getLimitPerS(engineId);
      if (limitPerS === knownPerS) return;
      if (limitPerS < knownPerS) {
        setLimit(engineId, { limitPerS, version: known?.version });
        metrics.count("engines.limits_named");
        return report({ engineId, limitPerS });
      }
      // Only the leader raises or ends a limit, so that all gateways see the same order.
      if (known?.version === undefined || sentMs === undefined) return;
      if (sentMs <= known.knownSinceMs) return;
      report({
        engineId,
        limitPerS: limitPerS === Infinity ? null : limitPerS,
        knownVersion: known.version,
      });
    },
    applyLimits: updateLimits,
    syncLimits(leaderLimits) {
      leaderBackOffUntilMs = -Infinity;
      const leaderIds = new Set(leaderLimits.map(({ engineId }) => engineId));
      for (const [engineId, limit] of limits) {
        limit.leaderlessBucket = undefined;
        limit.noGrantUntilMs = -Infinity;
        if (leaderIds.has(engineId)) continue;
        limit.version = undefined;
        report({ engineId, limitPerS: limit.limitPerS });
      }
      updateLimits(leaderLimits);
    },
    applyGrants({ grants, askedMs }) {
      pendingRequests.delete(askedMs);
      for (const { engineId, count, retryAfterMs } of grants) {
        const limit = limits.get(engineId);
        if (!limit) continue;
        const untilMs = askedMs + GRANT_MS;
        for (let at = 0; at < count; at++) limit.grantsUntilMs.push(untilMs);
        if (retryAfterMs > 0) {
          limit.noGrantUntilMs = now() + retryAfterMs;
          metrics.count("grants.denied");
        }
        wakeWaiters(limit);
      }
    },
    getLimitPerS,
    getWaitMs,
    maySend: (engineId) => getWaitMs(engineId) === 0,
    takeGrant(engineId) {
      const limit = limits.get(engineId);
      if (!limit) {
        const isValid = () => !limits.has(engineId);
        return { isValid, release: () => {} };
      }
      const untilMs = takeValidGrant(limit);
      return untilMs === undefined ? undefined : makeGrant(engineId, untilMs);
    },
    requestGrant(engineId) {
      const limit = limits.get(engineId);
      if (!limit) return Promise.resolve();
      metrics.count("grants.requested");
      requestedCounts[engineId] = (requestedCounts[engineId] ?? 0) + 1;
      if (!isRequestScheduled) setImmediate(sendRequests);
      isRequestScheduled = true;
      return new Promise((resolve) => limit.waiting.push(resolve));
    },
    takeReports() {
      const taken = [...reports.values()];
      reports.clear();
      return taken;
    },
    listLimited: () => [...limits.keys()],
  };
}
