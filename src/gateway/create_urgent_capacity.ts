/**
 * Whether a service has capacity left for its most urgent requests.
 *
 * @module
 */

/** What the check depends on. */
export interface CreateUrgentCapacityOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Whether a service has capacity left for its most urgent requests. */
export interface UrgentCapacity {
  /** Returns the last result of `search` for the service; it is searched rarely. */
  isLeft(service: string, search: () => boolean): boolean;
}

/**
 * Time, in ms, for which a result is used. Loads are reported every 500 ms, and a
 * gateway that refuses hundreds of requests per second can't afford a path search for
 * each of them.
 */
const MAX_AGE_MS = 100;

/**
 * Creates the check, without results.
 *
 * @param options - The clock.
 * @returns The check.
 * @throws Nothing.
 * @example
 * const urgentCapacity = createUrgentCapacity({ now });
 */
export function createUrgentCapacity(
  options: CreateUrgentCapacityOptions,
): UrgentCapacity {
  const { now } = options;
  const results = new Map<string, { isLeft: boolean; searchedMs: number }>();
  return {
    isLeft(service, search) {
      const known = results.get(service);
      if (known && now() - known.searchedMs < MAX_AGE_MS) return known.isLeft;
      const isLeft = search();
      results.set(service, { isLeft, searchedMs: now() });
      return isLeft;
    },
  };
}
