/**
 * Reports how many log lines were dropped.
 *
 * @module
 */

import type { Metrics } from "../metrics/index.ts";
import type { Logger } from "./create_logger.ts";

/** Options of {@link reportDroppedLines}. */
export interface ReportDroppedLinesOptions {
  /** Counts since their last call, one for each reason for which lines are dropped. */
  readonly takeCounts: readonly (() => number)[];
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Interval at which the number of dropped lines is logged. */
const REPORT_INTERVAL_MS = 5_000;

/**
 * Logs and counts dropped lines from time to time, until the process ends.
 *
 * @param options - The counts, the log and the metrics.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * reportDroppedLines({ takeCounts: [sink.takeDropped], log, metrics });
 */
export function reportDroppedLines(options: ReportDroppedLinesOptions): void {
  const { takeCounts, log, metrics } = options;
  setInterval(() => {
    const lines = takeCounts.reduce((sum, takeCount) => sum + takeCount(), 0);
    if (lines === 0) return;
    metrics.count("logs.dropped", lines);
    log("linesDropped", { lines });
  }, REPORT_INTERVAL_MS).unref();
}
