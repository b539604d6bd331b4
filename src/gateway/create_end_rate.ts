/**
 * Observes how often streams end and leave room for others.
 *
 * @module
 */

/** The rate at which this gateway's streams end. */
export interface EndRate {
  noteEnd(end: { readonly tookMs: number }): void;
  /** Time, in ms, that the longest of the streams that ended lately took. */
  getLongestMs(): number;
  /** Mean time between two ends, in ms. */
  getIntervalMs(): number;
}

/** Ms over which ends are counted: about the length of a stream. */
const WINDOW_MS = 2_000;

/** Ms for which an end is remembered: some hundred streams end in it. */
const MEMORY_MS = 30_000;

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
  let ends: { readonly atMs: number; readonly tookMs: number }[] = [];

  function listSince(spanMs: number) {
    const sinceMs = now() - spanMs;
    return ends.filter(({ atMs }) => atMs >= sinceMs);
  }

  return {
    noteEnd({ tookMs }) {
      ends = listSince(MEMORY_MS);
      ends.push({ atMs: now(), tookMs });
    },
    getLongestMs: () =>
      Math.max(0, ...listSince(MEMORY_MS).map(({ tookMs }) => tookMs)),
    getIntervalMs: () => WINDOW_MS / Math.max(1, listSince(WINDOW_MS).length),
  };
}
