/**
 * Mean times that the answers of services take.
 *
 * @module
 */

/** Mean times that the answers of services take. */
export interface ResponseTimes {
  noteAnswer(service: string, answer: { readonly tookMs: number }): void;
  /** Smoothed time of an answer, in ms; undefined before the first one. */
  getMeanMs(service: string): number | undefined;
}

/** Weight of the newest answer in the smoothed time. */
const ANSWER_WEIGHT = 0.1;

/**
 * Creates empty response times.
 *
 * @returns The times.
 * @throws Nothing.
 * @example
 * const responseTimes = createResponseTimes();
 */
export function createResponseTimes(): ResponseTimes {
  const timesMs = new Map<string, number>();
  return {
    noteAnswer(service, { tookMs }) {
      const knownMs = timesMs.get(service) ?? tookMs;
      timesMs.set(service, knownMs + ANSWER_WEIGHT * (tookMs - knownMs));
    },
    getMeanMs: (service) => timesMs.get(service),
  };
}
