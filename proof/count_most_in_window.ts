/**
 * The busiest window of a course of events.
 *
 * @module
 */

/** Counts the most events in any window of a length, both ends included. */
export function countMostInWindow(
  timesMs: readonly number[],
  windowMs: number,
): number {
  let first = 0;
  return timesMs.reduce((most, endMs, at) => {
    while (timesMs[first] < endMs - windowMs) first += 1;
    return Math.max(most, at - first + 1);
  }, 0);
}
