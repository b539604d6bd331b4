/**
 * The busiest time window of a series of events.
 *
 * @module
 */

/** Returns the highest number of events in any window, both of its ends included. */
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
