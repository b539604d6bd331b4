/**
 * This gateway's share of the repeats that all gateways together may send to
 * a service.
 *
 * @module
 */

/** The fleet's bound on repeats, and the share of this gateway. */
export interface CreateRepeatBudgetOptions {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed, on top, in each window by all gateways together. */
  readonly extra: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
  /** Gateways among which the extra is divided. */
  readonly getGatewayCount: () => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** A budget of repeats by service. */
export interface RepeatBudget {
  noteRequest(service: string): void;
  /** Spends one repeat; false where none is left. */
  spend(service: string): boolean;
}

/** Share of the bound that is used, so that gateways that lag keep to it. */
const USED_SHARE = 0.92;

/**
 * Share that a gateway uses in its first window: what it spent before a restart
 * it does not know.
 */
const FIRST_USED_SHARE = 0.45;

interface Counts {
  requestsMs: number[];
  repeatsMs: number[];
}

/**
 * Makes the budget.
 *
 * @param options - The bound and the gateway's share.
 * @returns The budget.
 * @throws Nothing.
 * @example
 * if (!budget.spend("advisor")) return refuse();
 */
export function createRepeatBudget(
  options: CreateRepeatBudgetOptions,
): RepeatBudget {
  const { ratio, extra, windowMs, now } = options;
  const services = new Map<string, Counts>();
  const startedMs = now();

  function getCounts(service: string): Counts {
    const known = services.get(service);
    const counts = known ?? { requestsMs: [], repeatsMs: [] };
    const sinceMs = now() - windowMs;
    for (const times of [counts.requestsMs, counts.repeatsMs]) {
      while (times.length > 0 && times[0] < sinceMs) times.shift();
    }
    services.set(service, counts);
    return counts;
  }

  return {
    noteRequest: (service) => void getCounts(service).requestsMs.push(now()),
    spend(service) {
      const { requestsMs, repeatsMs } = getCounts(service);
      const share = extra / Math.max(1, options.getGatewayCount());
      const isFirst = now() - startedMs < windowMs;
      const used = isFirst ? FIRST_USED_SHARE : USED_SHARE;
      const allowed = used * (ratio * requestsMs.length + share);
      if (repeatsMs.length + 1 > allowed) return false;
      repeatsMs.push(now());
      return true;
    },
  };
}
