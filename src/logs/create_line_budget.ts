/**
 * Limits the rate at which a program logs.
 *
 * @module
 */

import type { LogLevel } from "./events.ts";

/** The rate limit and its clock. */
export interface CreateLineBudgetOptions {
  /** Largest sustained rate; a burst of up to two seconds' worth is allowed. */
  readonly linesPerS?: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Token bucket that decides which lines are written. */
export interface LineBudget {
  /** Takes a token for a line, if there is one; warnings and errors need none. */
  take(level: LogLevel): boolean;
  /** Number of lines dropped since the last call. */
  takeDropped(): number;
}

/**
 * About three lines for each request at a gateway's peak load; writing them takes
 * about 1% of its processor time.
 */
const DEFAULT_LINES_PER_S = 60;

/** Size of the bucket, in seconds at the full rate. */
const BURST_S = 2;

/**
 * Creates a line budget.
 *
 * @param options - The rate limit and its clock.
 * @returns The budget, with a full bucket.
 * @throws Nothing.
 * @example
 * if (budget.take("info")) write(line);
 */
export function createLineBudget(
  options: CreateLineBudgetOptions,
): LineBudget {
  const { linesPerS = DEFAULT_LINES_PER_S, now } = options;
  const capacity = linesPerS * BURST_S;
  let tokens = capacity;
  let refilledMs = now();
  let dropped = 0;

  function refill(): void {
    const nowMs = now();
    tokens = Math.min(
      capacity,
      tokens + (nowMs - refilledMs) * linesPerS / 1_000,
    );
    refilledMs = nowMs;
  }

  return {
    take(level) {
      if (level === "warn" || level === "error") return true;
      refill();
      if (tokens < 1) {
        dropped += 1;
        return false;
      }
      tokens -= 1;
      return true;
    },
    takeDropped() {
      const count = dropped;
      dropped = 0;
      return count;
    },
  };
}
