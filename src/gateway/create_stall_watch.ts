/**
 * Asks engines what stands still there, once for all requests that wait.
 *
 * @module
 */

import type { EngineControl, StalledRequest } from "./protocol.ts";

/** What the watch needs. */
export interface CreateStallWatchOptions {
  readonly engineControl: EngineControl;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Asks engines what stands still there. */
export interface StallWatch {
  /** Rejects where the engine gives no report. */
  ask(address: string): Promise<readonly StalledRequest[]>;
}

/** Ms for which a report serves all who ask; engines tell with a lag as long. */
const REPORT_AGE_MS = 250;

/** Ms for a report. */
const REPORT_TIMEOUT_MS = 250;

interface Asked {
  readonly atMs: number;
  readonly report: Promise<readonly StalledRequest[]>;
}

/**
 * Makes the watch.
 *
 * @param options - How engines are asked, and the time.
 * @returns The watch.
 * @throws Nothing.
 * @example
 * const stalled = await watch.ask("10.0.0.1:80");
 */
export function createStallWatch(
  options: CreateStallWatchOptions,
): StallWatch {
  const { engineControl, now } = options;
  const asked = new Map<string, Asked>();
  return {
    ask(address) {
      const last = asked.get(address);
      if (last && now() - last.atMs < REPORT_AGE_MS) return last.report;
      const report = engineControl
        .readStalled(address, { timeoutMs: REPORT_TIMEOUT_MS });
      // Whoever asked hears of a failure; nobody else has to.
      report.catch(() => {});
      asked.set(address, { atMs: now(), report });
      return report;
    },
  };
}
