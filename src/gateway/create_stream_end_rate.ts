/**
 * Measures how often streams end and free capacity for others.
 *
 * @module
 */

/** The rate at which streams of this gateway end. */
export interface StreamEndRate {
  noteEnd(end: { readonly tookMs: number }): void;
  /** Duration, in ms, of the longest stream that ended recently. */
  getMaxDurationMs(): number;
  /** Mean time, in ms, between the ends of two streams. */
  getIntervalMs(): number;
}

/** Window, in ms, over which ends are counted: about the duration of a stream. */
const WINDOW_MS = 2_000;

/** Time, in ms, for which an end is kept: enough for some hundred streams. */
const RETENTION_MS = 30_000;

/**
 * Creates the rate, without any ends.
 *
 * @param options - Monotonic time, in ms.
 * @returns The rate.
 * @throws Nothing.
 * @example
 * const streamEndRate = createStreamEndRate({ now });
 */
export function createStreamEndRate(
  options: { readonly now: () => number },
): StreamEndRate {
  const { now } = options;
  let ends: { readonly atMs: number; readonly tookMs: number }[] = [];

  function listWithin(spanMs: number) {
    const sinceMs = now() - spanMs;
    return ends.filter(({ atMs }) => atMs >= sinceMs);
  }

  return {
    noteEnd({ tookMs }) {
      ends = listWithin(RETENTION_MS);
      ends.push({ atMs: now(), tookMs });
    },
    getMaxDurationMs: () =>
      Math.max(0, ...listWithin(RETENTION_MS).map(({ tookMs }) => tookMs)),
    getIntervalMs: () => WINDOW_MS / Math.max(1, listWithin(WINDOW_MS).length),
  };
}
