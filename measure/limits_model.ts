/**
 * Gateways before one upstream that takes less than they are asked for: how well ways
 * of dividing its rate limit keep to it and use it up.
 *
 * @module
 */

import { countMostInWindow } from "../proof/count_most_in_window.ts";
import { createRandomSource } from "../proof/random_source.ts";
import { createLimitDesk } from "../src/fleet/create_limit_desk.ts";
import { takeToken, type TokenBucket } from "../src/limits/index.ts";

/** The load, and how the limit is divided. */
export interface LimitLoad {
  readonly gateways: number;
  readonly limitPerS: number;
  /** Requests a second for the upstream, as a multiple of its limit. */
  readonly demand: number;
  /** Share of the gateways that are asked for nearly all of it. */
  readonly busyShare: number;
  readonly divide: DivideLimit;
  readonly seed: number;
}

/** What came of a load. */
export interface LimitResult {
  /** The most requests that reached the upstream in any four seconds. */
  readonly mostInWindow: number;
  /** Requests that reached it, as a share of what the limit allows. */
  readonly usedShare: number;
  /** Messages to and from the leader, a second. */
  readonly messagesPerS: number;
}

/** What a way of dividing goes by. */
export interface DivideOptions {
  readonly gateways: number;
  readonly limitPerS: number;
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
  readonly countMessage: () => void;
}

/** A way of dividing: whether a gateway may send now. */
export type DivideLimit = (
  options: DivideOptions,
) => (gateway: number) => boolean;

const SPAN_MS = 60_000;
const WINDOW_MS = 4_000;
const MS_PER_S = 1_000;

/** Share of the requests that don't go to the busy gateways. */
const IDLE_DEMAND = 0.1;

/**
 * Plays a load.
 *
 * @param load - The load.
 * @returns What came of it.
 * @throws Nothing.
 * @example
 * const { mostInWindow } = playLimit(load);
 */
export function playLimit(load: LimitLoad): LimitResult {
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
  const draw = () =>
    Math.floor(random() * (random() < IDLE_DEMAND ? gateways : busy));
  const sentMs: number[] = [];
  while (nowMs < SPAN_MS) {
    if (maySend(draw())) sentMs.push(nowMs);
    nowMs += -Math.log(1 - random()) * MS_PER_S / (limitPerS * demand);
  }
  return {
    mostInWindow: countMostInWindow(sentMs, WINDOW_MS),
    usedShare: sentMs.length / (limitPerS * SPAN_MS / MS_PER_S),
    messagesPerS: messages / (SPAN_MS / MS_PER_S),
  };
}

/**
 * Each gateway has an equal share, in a bucket of one that is filled by chance at
 * first.
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

/** Ms for which sends are leased at a time. */
const LEASE_MS = 500;

/**
 * The leader leases whole sends each half second to gateways that were asked in the
 * last one, in turn.
 */
export const leaseByDemand: DivideLimit = (options) => {
  const { gateways, limitPerS, now, countMessage } = options;
  let round = 0;
  let carried = 0;
  let wanted: number[] = Array(gateways).fill(0);
  let leased: number[] = Array(gateways).fill(0);
  let next = 0;
  function lease(): void {
    const told = wanted;
    wanted = Array(gateways).fill(0);
    leased = Array(gateways).fill(0);
    carried = Math.min(1, carried) + limitPerS * LEASE_MS / MS_PER_S;
    const asking = told.filter((count) => count > 0).length;
    for (let at = 0; at < 2 * asking; at++) countMessage();
    for (let passed = 0; carried >= 1 && passed < gateways;) {
      const gateway = next++ % gateways;
      passed += 1;
      if (told[gateway] <= leased[gateway]) continue;
      leased[gateway] += 1;
      carried -= 1;
      passed = 0;
    }
  }
  return (gateway) => {
    for (; (round + 1) * LEASE_MS <= now(); round++) lease();
    wanted[gateway] += 1;
    if (leased[gateway] === 0) return false;
    leased[gateway] -= 1;
    return true;
  };
};

/**
 * The leader grants each send when it is asked for; a gateway that got none asks
 * again when there may be one.
 */
export const grantOnRequest: DivideLimit = (options) => {
  const { gateways, limitPerS, now, countMessage } = options;
  const desk = createLimitDesk({
    publish: () => {},
    firstVersion: 1,
    now,
    log: () => {},
  });
  desk.take({ engineId: "engine", limitPerS });
  const noGrantUntilMs: number[] = Array(gateways).fill(-Infinity);
  return (gateway) => {
    if (now() < noGrantUntilMs[gateway]) return false;
    countMessage();
    countMessage();
    const [{ count, retryAfterMs }] = desk.grant({ engine: 1 });
    noGrantUntilMs[gateway] = now() + retryAfterMs;
    return count === 1;
  };
};
