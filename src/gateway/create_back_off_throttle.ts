/**
 * Lets in what upstreams can bear while many of a service are backed off: what those
 * don't take would fill the others, which then ask for a back-off too, one after the
 * other.
 *
 * The limit of a gateway falls to a little under the rate at which its requests were
 * served, and grows until the next sign of too much (additive increase,
 * multiplicative decrease; cf. adaptive throttling in Site Reliability Engineering).
 * In a model of 11 gateways before 12 upstreams that ask for a back-off of 3 s whenever they
 * are full, under 1.2 times what they can bear, 0.44 of requests are answered in time
 * in place of 0.21, and 0.51 of upstreams are backed off in place of 0.83 (npm run measure --
 * rest).
 *
 * @module
 */

/** Lets in what upstreams can bear. */
export interface BackOffThrottle {
  /** Notes that a request of a service was served. */
  noteServed(service: string): void;
  /** Notes that an upstream has just asked for a back-off. */
  noteBackOff(
    service: string,
    state: {
      /** Share of the upstreams that could take requests which are backed off. */
      readonly backedOffShare: number;
    },
  ): void;
  /** Whether anything is limited: nothing else has to be looked at where not. */
  isLimited(service: string): boolean;
  /**
   * Takes a new request in; the ms after which to come again where it can't be, and
   * undefined where it can.
   */
  admit(service: string): number | undefined;
}

/** Ms over which served requests are counted at a time. */
const COUNT_MS = 1_000;

/** Ms that a count has to last at least to tell a rate. */
const LEAST_COUNT_MS = 250;

/**
 * Counts of which the largest tells what upstreams can bear: while backed off they
 * serve less, and a limit that followed that would fall on and on.
 */
const MAX_COUNTS = 10;

/** Ms between two cuts: what the last one changed has to show first. */
const CUT_INTERVAL_MS = 1_000;

/**
 * Share of a service's upstreams that have to be backed off before anything is cut: where few
 * are, the others have room. In the same model, 64 gateways, under 0.8 of what they
 * can bear: 0.996 in time with 0.3, 1.000 with this.
 */
const LEAST_RESTING_SHARE = 0.5;

/** Share of the limit, or of the largest rate served, that is left after a cut. */
const CUT_SHARE = 0.9;

/** Share of the largest rate served to which cuts lead at most. */
const LEAST_SHARE = 0.5;

/** Share by which the limit grows in a second. */
const GROWTH_PER_S = 0.1;

/** Requests a second by which it grows in a second besides. */
const GROWTH_RATE_PER_S = 0.1;

/** Requests a second that are let in at least: one in three seconds asks. */
const LEAST_RATE_PER_S = 0.3;

/** Requests that may come in one moment. */
const BURST = 3;

/** Ms without a back-off after which everything is let in again. */
const LIFT_AFTER_MS = 10_000;

const MS_PER_S = 1_000;

interface Count {
  readonly sinceMs: number;
  served: number;
}

interface Limit {
  counts: Count[];
  /** Requests a second; Infinity where nothing is limited. */
  ratePerS: number;
  tokens: number;
  grownMs: number;
  cutMs: number;
  backOffMs: number;
}

/**
 * Makes the throttle; it limits nothing at first.
 *
 * @param options - Steady time, in ms.
 * @returns The throttle.
 * @throws Nothing.
 * @example
 * const throttle = createBackOffThrottle({ now });
 */
export function createBackOffThrottle(
  options: { readonly now: () => number },
): BackOffThrottle {
  const { now } = options;
  const limits = new Map<string, Limit>();

  function getLimit(service: string): Limit {
    const known = limits.get(service);
    if (known) return known;
    const limit: Limit = {
      counts: [],
      ratePerS: Infinity,
      tokens: BURST,
      grownMs: now(),
      cutMs: -Infinity,
      backOffMs: -Infinity,
    };
    limits.set(service, limit);
    return limit;
  }

  function getCount(limit: Limit): Count {
    const last = limit.counts.at(-1);
    if (last && now() - last.sinceMs < COUNT_MS) return last;
    const count = { sinceMs: now(), served: 0 };
    limit.counts = [...limit.counts.slice(1 - MAX_COUNTS), count];
    return count;
  }

  function getServedPerS({ counts }: Limit): number {
    const oldestMs = now() - MAX_COUNTS * COUNT_MS;
    const rates = counts.filter(({ sinceMs }) => sinceMs >= oldestMs)
      .map(getRatePerS);
    return Math.max(0, ...rates);
  }

  // The newest count has only begun.
  function getRatePerS({ sinceMs, served }: Count): number {
    const spanMs = Math.min(
      COUNT_MS,
      Math.max(LEAST_COUNT_MS, now() - sinceMs),
    );
    return served * MS_PER_S / spanMs;
  }

  function cut(limit: Limit): void {
    const servedPerS = getServedPerS(limit);
    limit.ratePerS = Math.max(
      LEAST_RATE_PER_S,
      LEAST_SHARE * servedPerS,
      CUT_SHARE * Math.min(limit.ratePerS, servedPerS),
    );
    limit.cutMs = now();
    limit.grownMs = now();
  }

  function grow(limit: Limit): void {
    const pastS = (now() - limit.grownMs) / MS_PER_S;
    limit.grownMs = now();
    limit.ratePerS = limit.ratePerS * (1 + GROWTH_PER_S * pastS) +
      GROWTH_RATE_PER_S * pastS;
    limit.tokens = Math.min(BURST, limit.tokens + limit.ratePerS * pastS);
  }

  return {
    noteServed(service) {
      getCount(getLimit(service)).served += 1;
    },
    noteBackOff(service, { backedOffShare }) {
      const limit = getLimit(service);
      limit.backOffMs = now();
      const isDue = now() - limit.cutMs >= CUT_INTERVAL_MS;
      if (isDue && backedOffShare >= LEAST_RESTING_SHARE) cut(limit);
    },
    isLimited: (service) =>
      (limits.get(service)?.ratePerS ?? Infinity) < Infinity,
    admit(service) {
      const limit = limits.get(service);
      if (!limit || limit.ratePerS === Infinity) return undefined;
      if (now() - limit.backOffMs > LIFT_AFTER_MS) {
        limit.ratePerS = Infinity;
        return undefined;
      }
      grow(limit);
      if (limit.tokens < 1) {
        return (1 - limit.tokens) * MS_PER_S / limit.ratePerS;
      }
      limit.tokens -= 1;
      return undefined;
    },
  };
}
