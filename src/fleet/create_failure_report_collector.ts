/**
 * Collects the engine failures that gateways found by probing, so that other gateways
 * needn't probe, and decides which data centres a failure holds for.
 *
 * @module
 */

/** An engine that a gateway reports as failed. */
export interface ReportedEngine {
  readonly engineId: string;
  /** Data centre of the engine; undefined if the leader doesn't know the engine. */
  readonly place: string | undefined;
}

/** A gateway's report. */
export interface FailureReport {
  readonly vm: string;
  /** Data centre of the gateway. */
  readonly place: string;
  /** Engines that did not answer its probes while its streams over them were stalled. */
  readonly engines: readonly ReportedEngine[];
}

/** A failure that enough gateways have reported. */
export interface ConfirmedFailure extends ReportedEngine {
  /**
   * Whether it holds for the gateways of all data centres; otherwise only for those of
   * the reporting one.
   */
  readonly isForAllPlaces: boolean;
}

/** Collects failure reports. */
export interface FailureReportCollector {
  /** Adds a report; returns the failures to publish now. */
  add(report: FailureReport): readonly ConfirmedFailure[];
}

/**
 * Gateways of one data centre that have to report an engine as failed before others
 * are notified: a single one may itself be partitioned.
 */
const MIN_REPORTERS = 2;

/** Ms for which a report counts, and for which a notification isn't repeated. */
const REPORT_LIFETIME_MS = 2_000;

/**
 * Creates the collector, without reports.
 *
 * Reports are counted for each reporting data centre by itself. Those from the engine's
 * own data centre hold for all, as no link between data centres can have caused them.
 *
 * @param options - Monotonic time, in ms.
 * @returns The collector.
 * @throws Nothing.
 * @example
 * const failures = collector.add({ vm, place, engines });
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
    engine: ReportedEngine,
    { vm, place }: FailureReport,
  ): boolean {
    const key = `${place} ${engine.engineId}`;
    const byVm = reporters.get(key) ?? new Map<string, number>();
    reporters.set(key, byVm.set(vm, now()));
    const count = [...byVm.values()].filter(isFresh).length;
    // A notification from the engine's own data centre went to all.
    const ownKey = `${engine.place} ${engine.engineId}`;
    const isNotified = notifiedMs.has(key) || notifiedMs.has(ownKey);
    if (count < MIN_REPORTERS || isNotified) return false;
    notifiedMs.set(key, now());
    return true;
  }

  return {
    add(report) {
      removeExpired();
      return report.engines
        .filter((engine) => confirmFailure(engine, report))
        .map((engine) => ({
          ...engine,
          isForAllPlaces: engine.place === report.place,
        }));
    },
  };
}
