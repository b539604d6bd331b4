/**
 * A count of what happened within a sliding window.
 *
 * @module
 */

/** Options of {@link createSlidingCount}. */
export interface CreateSlidingCountOptions {
  readonly windowMs: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** A count within a sliding window. */
export interface SlidingCount {
  /** Adds to the count; `atMs` is the current time by default. */
  add(count: number, atMs?: number): void;
  get(): number;
}

/** Buckets per window: the count of a bucket expires at once. */
const BUCKETS = 50;

interface Bucket {
  readonly index: number;
  count: number;
}

/**
 * Creates a count of 0. What is added counts for the window and up to one bucket more.
 *
 * @param options - The window and the clock.
 * @returns The count.
 * @throws Nothing.
 * @example
 * const count = createSlidingCount({ windowMs: 10_000, now });
 * count.add(1);
 */
export function createSlidingCount(
  { windowMs, now }: CreateSlidingCountOptions,
): SlidingCount {
  const bucketMs = windowMs / BUCKETS;
  let buckets: Bucket[] = [];
  let total = 0;

  function removeExpired(): void {
    const firstIndex = Math.floor((now() - windowMs) / bucketMs);
    if (buckets.length === 0 || buckets[0].index >= firstIndex) return;
    buckets = buckets.filter(({ index }) => index >= firstIndex);
    total = buckets.reduce((sum, { count }) => sum + count, 0);
  }

  return {
    add(count, atMs = now()) {
      const index = Math.floor(atMs / bucketMs);
      const known = buckets.find((bucket) => bucket.index === index);
      if (known) known.count += count;
      else {
        buckets.push({ index, count });
        buckets.sort((a, b) => a.index - b.index);
      }
      total += count;
    },
    get() {
      removeExpired();
      return total;
    },
  };
}
