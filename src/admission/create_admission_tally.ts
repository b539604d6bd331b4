/**
 * Recent admissions of each client account.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";

/** What the tally depends on. */
export interface CreateAdmissionTallyOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Counts of recent admissions. */
export interface AdmissionTally {
  /** Counts one admission. */
  note(name: string): void;
  /** Recent admissions; each counts half after every half-life. */
  get(name: string): number;
}

/**
 * Half-life of an admission, in ms. Streams last a few seconds, so the count follows
 * the capacity that the client account uses now.
 */
const HALF_LIFE_MS = 5_000;

/**
 * Maximum number of names. The one whose last admission is oldest is evicted; its count
 * has decayed most.
 */
const MAX_NAMES = 1_000;

/**
 * Creates an empty tally. All counts decay at the same rate, so the order of two names
 * changes only when one of them is noted.
 *
 * @param options - The clock.
 * @returns The tally.
 * @throws Nothing.
 * @example
 * const tally = createAdmissionTally({ now });
 */
export function createAdmissionTally(
  options: CreateAdmissionTallyOptions,
): AdmissionTally {
  const { now } = options;
  const counts = new Map<string, { count: number; updatedMs: number }>();

  function get(name: string): number {
    const known = counts.get(name);
    if (!known) return 0;
    return known.count * 2 ** ((known.updatedMs - now()) / HALF_LIFE_MS);
  }

  return {
    note(name) {
      const count = get(name) + 1;
      counts.delete(name);
      counts.set(name, { count, updatedMs: now() });
      evictOldest(counts, MAX_NAMES);
    },
    get,
  };
}
