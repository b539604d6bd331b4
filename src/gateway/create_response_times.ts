/**
 * Times that the answers of services take.
 *
 * @module
 */

/** Times that the answers of services take. */
export interface ResponseTimes {
  noteAnswer(service: string, answer: { readonly tookMs: number }): void;
  /** Smoothed time of an answer, in ms; undefined before the first one. */
  getMeanMs(service: string): number | undefined;
  /** Longest time of a recent answer, in ms; 0 without any. */
  getMaxMs(service: string): number;
}

/** Longest times, in ms, of the answers of one service. */
interface LongestTimes {
  readonly sinceMs: number;
  readonly currentMs: number;
  /** Of the period before. */
  readonly previousMs: number;
}

/** Period, in ms, of one longest time; an answer counts for one to two periods. */
const PERIOD_MS = 15_000;

/** Weight of the newest answer in the smoothed time. */
const ANSWER_WEIGHT = 0.1;

/**
 * Creates empty response times.
 *
 * @param options - Monotonic time, in ms.
 * @returns The times.
 * @throws Nothing.
 * @example
 * const responseTimes = createResponseTimes({ now });
 */
export function createResponseTimes(
  { now }: { readonly now: () => number },
): ResponseTimes {
  const timesMs = new Map<string, number>();
  const longest = new Map<string, LongestTimes>();

  function getLongest(service: string): LongestTimes {
    const nowMs = now();
    const known = longest.get(service);
    const periods = known ? (nowMs - known.sinceMs) / PERIOD_MS : Infinity;
    if (known && periods < 1) return known;
    const previousMs = known && periods < 2 ? known.currentMs : 0;
    return { sinceMs: nowMs, currentMs: 0, previousMs };
  }

  return {
    noteAnswer(service, { tookMs }) {
      const known = getLongest(service);
      const currentMs = Math.max(known.currentMs, tookMs);
      longest.set(service, { ...known, currentMs });
      const knownMs = timesMs.get(service) ?? tookMs;
      timesMs.set(service, knownMs + ANSWER_WEIGHT * (tookMs - knownMs));
    },
    getMeanMs: (service) => timesMs.get(service),
    getMaxMs(service) {
      const { currentMs, previousMs } = getLongest(service);
      return Math.max(currentMs, previousMs);
    },
  };
}
