/**
 * The rate limits that upstreams name, as a gateway knows them, and its grants of
 * sends under them.
 *
 * An upstream's limit holds for all gateways together, so each send to one that is
 * limited needs a grant of the leader's (cf. quota servers as Envoy's rate limit quota
 * service or Doorman). A gateway that can't ask keeps to a small part of the limit.
 *
 * @module
 */

import type {
  GrantCounts,
  LeaderMessage,
  LimitReport,
  ToldLimit,
} from "../fleet/index.ts";
import { takeToken, type TokenBucket } from "../limits/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** Leave to send one request to an upstream. */
export interface SendGrant {
  /** Whether it still holds; asked when a connection is there. */
  isValid(): boolean;
  /** Gives it back: nothing was sent. */
  giveBack(): void;
}

/** The rate limits that upstreams name, by their runs. */
export interface RateLimits {
  /** Takes what one names in an answer. */
  takeAnswer(engineId: string, answer: LimitAnswer): void;
  /** Takes limits that the leader tells. */
  takeTold(limits: readonly ToldLimit[]): void;
  /** Takes all limits that a leader knows; it is told what it doesn't know. */
  takeWhole(limits: readonly ToldLimit[]): void;
  takeGrants(message: LeaderMessage & { type: "grants" }): void;
  /** Requests a second that one takes from all gateways; Infinity if unlimited. */
  getLimitPerS(engineId: string): number;
  /** Ms until a grant may be had; 0 where one is in hand, or may be asked for now. */
  getWaitMs(engineId: string): number;
  /** Whether a request may be sent, or a grant for one asked for. */
  hasSendLeft(engineId: string): boolean;
  /** Takes leave to send a request; undefined where a grant has to be asked for. */
  take(engineId: string): SendGrant | undefined;
  /** Asks the leader for a grant; resolves once it has answered or is given up. */
  request(engineId: string): Promise<void>;
  /** Limits of which the leader has not been told; they count as told then. */
  takeReports(): readonly LimitReport[];
  /** Runs of upstreams that are limited. */
  listLimited(): readonly string[];
}

/** What an upstream names in an answer. */
export interface LimitAnswer {
  /** Requests a second; Infinity where it names no limit. */
  readonly limitPerS: number;
  /**
   * When the request was sent that it answers, in ms; absent where the answer may be
   * older than what is known, or is none to a request.
   */
  readonly sentMs?: number;
}

/** What the limits need of their program. */
export interface CreateRateLimitsOptions {
  /** Asks the leader for grants; false where there is no session. */
  readonly requestGrants: (counts: GrantCounts, askedMs: number) => boolean;
  /** Called when the leader has to be told of a limit. */
  readonly onNews: () => void;
  /** Gateways among which a limit is divided while the leader can't be asked. */
  readonly getGatewayCount: () => number;
  /** Monotonic time, in ms, that counts suspensions. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "count">;
}

/**
 * Ms from the request for a grant until it must have been used: a round trip to the
 * leader and a new connection to the upstream.
 */
const GRANT_MS = 500;

/** Ms for the leader's answer, after which the call goes elsewhere. */
const ANSWER_TIMEOUT_MS = 100;

/** Ms for which a leader that gave no answer isn't asked again. */
const UNANSWERED_MS = 300;

/** Share of a limit that all gateways together use without a leader. */
const SAFE_SHARE = 0.5;

/** Limits that are kept; the oldest are forgotten first. */
const MAX_LIMITS = 5_000;

interface Limit {
  readonly limitPerS: number;
  /** The leader's version of it; absent until it has told one. */
  version?: number;
  /** Since when it is known here, in ms. */
  readonly knownMs: number;
  /** Until when each grant in hand may be used, in ms. */
  grantsUntilMs: number[];
  /** Time, in ms, before which no grant is to be had. */
  noGrantUntilMs: number;
  /** What may be sent while the leader can't be asked. */
  safeBucket?: TokenBucket;
  waiting: (() => void)[];
}

/**
 * Makes the limits; no upstream is limited at first.
 *
 * @param options - The leader, the time, logs and metrics.
 * @returns The limits.
 * @throws Nothing.
 * @example
 * const grant = limits.take(engineId);
 * if (!grant) await limits.request(engineId);
 */
export function createRateLimits(options: CreateRateLimitsOptions): RateLimits {
  const { now, log, metrics } = options;
  const limits = new Map<string, Limit>();
  const reports = new Map<string, LimitReport>();
  let asked: Record<string, number> = {};
  let isAsking = false;
  const unanswered = new Set<number>();
  let silentUntilMs = -Infinity;

  const getLimitPerS = (engineId: string) =>
    limits.get(engineId)?.limitPerS ?? Infinity;

  function getWaitMs(engineId: string): number {
    const limit = limits.get(engineId);
    if (!limit) return 0;
    if (limit.grantsUntilMs.some((ms) => ms > now())) return 0;
    return Math.max(0, Math.max(limit.noGrantUntilMs, silentUntilMs) - now());
  }

  function put(
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
    const knownMs = now();
    limits.set(engineId, { ...initial, ...known, limitPerS, version, knownMs });
    if (limits.size > MAX_LIMITS) remove(limits.keys().next().value as string);
    if (hasChanged) log("engineLimited", { engineId, limitPerS, version });
  }

  function remove(engineId: string): void {
    const limit = limits.get(engineId);
    limits.delete(engineId);
    reports.delete(engineId);
    if (!limit) return;
    log("engineNotLimited", { engineId });
    wake(limit);
  }

  function takeTold(told: readonly ToldLimit[]): void {
    for (const { engineId, limitPerS, version } of told) {
      if (limitPerS === null) remove(engineId);
      else put(engineId, { limitPerS, version });
    }
  }

  function report(news: LimitReport): void {
    reports.set(news.engineId, news);
    options.onNews();
  }

  function wake(limit: Limit): void {
    const { waiting } = limit;
    limit.waiting = [];
    waiting.forEach((onAnswer) => onAnswer());
  }

  function takeInHand(limit: Limit): number | undefined {
    limit.grantsUntilMs = limit.grantsUntilMs.filter((ms) => ms > now());
    return limit.grantsUntilMs.shift();
  }

  function makeGrant(engineId: string, untilMs: number): SendGrant {
    return {
      isValid: () => now() < untilMs,
      giveBack: () => void limits.get(engineId)?.grantsUntilMs.push(untilMs),
    };
  }

  // Requests of one turn are asked for in one message.
  function ask(): void {
    isAsking = false;
    const counts = asked;
    asked = {};
    const askedMs = now();
    if (!options.requestGrants(counts, askedMs)) {
      return Object.keys(counts).forEach(grantSafely);
    }
    unanswered.add(askedMs);
    setTimeout(() => giveUp(askedMs, counts), ANSWER_TIMEOUT_MS);
  }

  function giveUp(askedMs: number, counts: GrantCounts): void {
    if (!unanswered.delete(askedMs)) return;
    metrics.count("grants.unanswered");
    silentUntilMs = now() + UNANSWERED_MS;
    for (const engineId of Object.keys(counts)) {
      const limit = limits.get(engineId);
      if (limit) wake(limit);
    }
  }

  // It begins with nothing in hand: the leader may have granted the whole limit just
  // before.
  function grantSafely(engineId: string): void {
    const limit = limits.get(engineId);
    if (!limit) return;
    const nowMs = now();
    const ratePerS = SAFE_SHARE * limit.limitPerS /
      Math.max(1, options.getGatewayCount());
    const bucket = limit.safeBucket ?? { tokens: 0, updatedMs: nowMs };
    const taken = takeToken(bucket, { nowMs, ratePerS, burst: 1 });
    limit.safeBucket = taken.bucket;
    if (taken.admitted) limit.grantsUntilMs.push(nowMs + GRANT_MS);
    else limit.noGrantUntilMs = nowMs + Math.min(taken.retryAfterMs, GRANT_MS);
    wake(limit);
  }

  return {
    takeAnswer(engineId, { limitPerS, sentMs }) {
      const known = limits.get(engineId);
      const knownPerS = getLimitPerS(engineId);
      if (limitPerS === knownPerS) return;
      if (limitPerS < knownPerS) {
        put(engineId, { limitPerS, version: known?.version });
        metrics.count("engines.limits_named");
        return report({ engineId, limitPerS });
      }
      // Only the leader ends a limit: all gateways hear it in the same order.
      if (known?.version === undefined || sentMs === undefined) return;
      if (sentMs <= known.knownMs) return;
      report({
        engineId,
        limitPerS: limitPerS === Infinity ? null : limitPerS,
        knownVersion: known.version,
      });
    },
    takeTold,
    takeWhole(told) {
      silentUntilMs = -Infinity;
      const toldIds = new Set(told.map(({ engineId }) => engineId));
      for (const [engineId, limit] of limits) {
        limit.safeBucket = undefined;
        limit.noGrantUntilMs = -Infinity;
        if (toldIds.has(engineId)) continue;
        limit.version = undefined;
        report({ engineId, limitPerS: limit.limitPerS });
      }
      takeTold(told);
    },
    takeGrants({ grants, askedMs }) {
      unanswered.delete(askedMs);
      for (const { engineId, count, retryAfterMs } of grants) {
        const limit = limits.get(engineId);
        if (!limit) continue;
        const untilMs = askedMs + GRANT_MS;
        for (let at = 0; at < count; at++) limit.grantsUntilMs.push(untilMs);
        if (retryAfterMs > 0) {
          limit.noGrantUntilMs = now() + retryAfterMs;
          metrics.count("grants.denied");
        }
        wake(limit);
      }
    },
    getLimitPerS,
    getWaitMs,
    hasSendLeft: (engineId) => getWaitMs(engineId) === 0,
    take(engineId) {
      const limit = limits.get(engineId);
      if (!limit) {
        const isValid = () => !limits.has(engineId);
        return { isValid, giveBack: () => {} };
      }
      const untilMs = takeInHand(limit);
      return untilMs === undefined ? undefined : makeGrant(engineId, untilMs);
    },
    request(engineId) {
      const limit = limits.get(engineId);
      if (!limit) return Promise.resolve();
      metrics.count("grants.requested");
      asked[engineId] = (asked[engineId] ?? 0) + 1;
      if (!isAsking) setImmediate(ask);
      isAsking = true;
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
