/**
 * Bounds how many lines a program logs.
 *
 * @module
 */

import type { LogLevel } from "./events.ts";

/** The bound. */
export interface CreateLineBudgetOptions {
  /** Lines a second, at most; what is saved up lasts for two seconds. */
  readonly linesPerS?: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Decides which lines are written. */
export interface LineBudget {
  /** Whether a line may be written; warnings and errors always may. */
  take(level: LogLevel): boolean;
  /** Lines turned down since the last call. */
  takeDropped(): number;
}

/**
 * Lines a second: some three for each request at the peak of a gateway, and
 * about one in a hundred of its processor time.
 */
const LINES_PER_S = 60;

/** Seconds for which unused lines are saved up. */
const SAVED_S = 2;

/**
 * Makes a budget.
 *
 * @param options - The bound and the time.
 * @returns The budget, full.
 * @throws Nothing.
 * @example
 * if (budget.take("info")) write(line);
 */
export function createLineBudget(
  options: CreateLineBudgetOptions,
): LineBudget {
  const { linesPerS = LINES_PER_S, now } = options;
  const most = linesPerS * SAVED_S;
  let left = most;
  let lastMs = now();
  let dropped = 0;

  function refill(): void {
    const nowMs = now();
    left = Math.min(most, left + (nowMs - lastMs) * linesPerS / 1_000);
    lastMs = nowMs;
  }

  return {
    take(level) {
      if (level === "warn" || level === "error") return true;
      refill();
      if (left < 1) {
        dropped += 1;
        return false;
      }
      left -= 1;
      return true;
    },
    takeDropped() {
      const count = dropped;
      dropped = 0;
      return count;
    },
  };
}
