/**
 * Simulates gateways that share the rate limit of one upstream, under more or less
 * demand than the limit. Shows how closely each way of dividing the limit keeps to it
 * and how much of it is used.
 *
 * @module
 */

import { countMostInWindow } from "../proof/count_most_in_window.ts";
import { createRandomSource } from "../proof/random_source.ts";
import { createLimitCoordinator } from "../src/fleet/create_limit_coordinator.ts";
import { takeToken, type TokenBucket } from "../src/limits/index.ts";

/** Demand on one rate-limited upstream, and how its limit is divided. */
export interface RateLimitScenario {
  readonly gateways: number;
  readonly limitPerS: number;
  /** Requests per second for the upstream, as a multiple of its limit. */
  readonly demand: number;
  /** Share of the gateways that receive nearly all of the demand. */
  readonly busyShare: number;
  readonly divide: DivideLimit;
  readonly seed: number;
}

/** Outcome of a simulated scenario. */
export interface RateLimitResult {
  /** The most requests that reached the upstream in any four seconds. */
  readonly mostInWindow: number;
  /** Requests that reached the upstream, as a share of what the limit allows. */
  readonly usedShare: number;
  /** Messages per second to and from the leader. */
  readonly messagesPerS: number;
}

/** Inputs of a {@link DivideLimit}. */
export interface DivideLimitOptions {
  readonly gateways: number;
  readonly limitPerS: number;
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly countMessage: () => void;
}

/** Divides a rate limit; the returned function tells whether a gateway may send now. */
export type DivideLimit = (
  options: DivideLimitOptions,
) => (gateway: number) => boolean;

const DURATION_MS = 60_000;
const WINDOW_MS = 4_000;
const MS_PER_S = 1_000;

/** Share of the requests that are spread over all gateways, busy or not. */
const SPREAD_SHARE = 0.1;

/**
 * Simulates one minute of requests to a rate-limited upstream.
 *
 * @param load - Demand, gateways, and the way of dividing the limit.
 * @returns Use of the limit, its highest load in a window, and the message rate.
 * @throws Nothing.
 * @example
 * const { mostInWindow } = simulateRateLimit(load);
 */
export function simulateRateLimit(load: RateLimitScenario): RateLimitResult {
  const { gateways, limitPerS, demand, busyShare, divide } = load;
  const { number: random } = createRandomSource(load.seed);
  let nowMs = 0;
  let messages = 0;
  const maySend = divide({
    gateways,
    limitPerS,
    now: () => nowMs,
    random,
    countMessage: () => void (messages += 1),
  });
  const busy = Math.max(1, Math.round(gateways * busyShare));
  const drawGateway = () =>
    Math.floor(random() * (random() < SPREAD_SHARE ? gateways : busy));
  const sentMs: number[] = [];
  while (nowMs < DURATION_MS) {
    if (maySend(drawGateway())) sentMs.push(nowMs);
    nowMs += -Math.log(1 - random()) * MS_PER_S / (limitPerS * demand);
  }
  return {
    mostInWindow: countMostInWindow(sentMs, WINDOW_MS),
    usedShare: sentMs.length / (limitPerS * DURATION_MS / MS_PER_S),
    messagesPerS: messages / (DURATION_MS / MS_PER_S),
  };
}

/**
 * Gives each gateway an equal share of the rate, in a token bucket that holds one
 * token and starts with a random fill.
 */
export const divideEvenly: DivideLimit = (options) => {
  const { gateways, limitPerS, now, random } = options;
  const ratePerS = limitPerS / gateways;
  const buckets = Array.from({ length: gateways }, (): TokenBucket => ({
    tokens: random(),
    updatedMs: 0,
  }));
  return (gateway) => {
    const taken = takeToken(buckets[gateway], {
      nowMs: now(),
      ratePerS,
      burst: 1,
    });
    buckets[gateway] = taken.bucket;
    return taken.admitted;
  };
};

/** Interval at which the leader leases sends. */
const LEASE_INTERVAL_MS = 500;

/**
 * Every half second the leader leases whole sends, round-robin, to the gateways that
 * had requests in the previous interval.
 */
export const leaseByDemand: DivideLimit = (options) => {
  const { gateways, limitPerS, now, countMessage } = options;
  let round = 0;
  let unleased = 0;
  let requested: number[] = Array(gateways).fill(0);
  let leased: number[] = Array(gateways).fill(0);
  let next = 0;
  function lease(): void {
    const demand = requested;
    requested = Array(gateways).fill(0);
    leased = Array(gateways).fill(0);
    unleased = Math.min(1, unleased) + limitPerS * LEASE_INTERVAL_MS / MS_PER_S;
    const requesting = demand.filter((count) => count > 0).length;
    for (let at = 0; at < 2 * requesting; at++) countMessage();
    for (let skipped = 0; unleased >= 1 && skipped < gateways;) {
      const gateway = next++ % gateways;
      skipped += 1;
      if (demand[gateway] <= leased[gateway]) continue;
      leased[gateway] += 1;
      unleased -= 1;
      skipped = 0;
    }
  }
  return (gateway) => {
    for (; (round + 1) * LEASE_INTERVAL_MS <= now(); round++) lease();
    requested[gateway] += 1;
    if (leased[gateway] === 0) return false;
    leased[gateway] -= 1;
    return true;
  };
};

/**
 * The leader grants each send on request. A gateway that is denied one asks again only
 * after the retry delay that came with the denial.
 */
export const grantOnRequest: DivideLimit = (options) => {
  const { gateways, limitPerS, now, countMessage } = options;
  const coordinator = createLimitCoordinator({
    publish: () => {},
    firstVersion: 1,
    now,
    log: () => {},
  });
  coordinator.take({ engineId: "engine", limitPerS });
  const noGrantUntilMs: number[] = Array(gateways).fill(-Infinity);
  return (gateway) => {
    if (now() < noGrantUntilMs[gateway]) return false;
    countMessage();
    countMessage();
    const [{ count, retryAfterMs }] = coordinator.grant({ engine: 1 });
    noGrantUntilMs[gateway] = now() + retryAfterMs;
    return count === 1;
  };
};
