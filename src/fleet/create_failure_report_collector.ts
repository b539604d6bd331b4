/**
 * Collects the engine failures that gateways found by probing, so that the other
 * gateways of the same data centre needn't probe.
 *
 * @module
 */

/** A gateway's report. */
export interface FailureReport {
  readonly vm: string;
  readonly place: string;
  /** Engines that did not answer its probes while its streams over them were stalled. */
  readonly engineIds: readonly string[];
}

/** Collects failure reports. */
export interface FailureReportCollector {
  /** Adds a report; returns the failed engines to publish in that data centre now. */
  add(report: FailureReport): readonly string[];
}

/**
 * Gateways of one data centre that have to report an engine as failed before the
 * others there are notified: a single one may itself be partitioned.
 */
const MIN_REPORTERS = 2;

/** Ms for which a report counts, and for which a notification isn't repeated. */
const REPORT_LIFETIME_MS = 2_000;

/**
 * Creates the collector, without reports.
 *
 * @param options - Monotonic time, in ms.
 * @returns The collector.
 * @throws Nothing.
 * @example
 * const failed = collector.add({ vm, place, engineIds });
 */
export function createFailureReportCollector(
  options: { readonly now: () => number },
): FailureReportCollector {
  const { now } = options;
  const reporters = new Map<string, Map<string, number>>();
  const notifiedMs = new Map<string, number>();

  function isFresh(atMs: number): boolean {
    return now() - atMs < REPORT_LIFETIME_MS;
  }

  function removeExpired(): void {
    for (const [key, byVm] of reporters) {
      if (![...byVm.values()].some(isFresh)) reporters.delete(key);
    }
    for (const [key, atMs] of notifiedMs) {
      if (!isFresh(atMs)) notifiedMs.delete(key);
    }
  }

  function confirmFailure(
    engineId: string,
    { vm, place }: FailureReport,
  ): boolean {
    const key = `${place} ${engineId}`;
    const byVm = reporters.get(key) ?? new Map<string, number>();
    reporters.set(key, byVm.set(vm, now()));
    const count = [...byVm.values()].filter(isFresh).length;
    if (count < MIN_REPORTERS || notifiedMs.has(key)) return false;
    notifiedMs.set(key, now());
    return true;
  }

  return {
    add(report) {
      removeExpired();
      return report.engineIds.filter((engineId) =>
        confirmFailure(engineId, report)
      );
    },
  };
}
