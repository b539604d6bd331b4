/**
 * Observes how often streams end and leave room for others.
 *
 * @module
 */

/** The rate at which this gateway's streams end. */
export interface EndRate {
  noteEnd(): void;
  /** Mean time between two ends, in ms. */
  getIntervalMs(): number;
}

/** Ms over which ends are counted: about the length of a stream. */
const WINDOW_MS = 2_000;

/**
 * Makes the observer.
 *
 * @param options - Monotonic time, in ms.
 * @returns The observer.
 * @throws Nothing.
 * @example
 * const endRate = createEndRate({ now });
 */
export function createEndRate(
  options: { readonly now: () => number },
): EndRate {
  const { now } = options;
  let endsMs: number[] = [];
  return {
    noteEnd() {
      endsMs.push(now());
    },
    getIntervalMs() {
      const sinceMs = now() - WINDOW_MS;
      endsMs = endsMs.filter((atMs) => atMs >= sinceMs);
      return WINDOW_MS / Math.max(1, endsMs.length);
    },
  };
}
