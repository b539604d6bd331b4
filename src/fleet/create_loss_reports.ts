/**
 * What gateways found lost by their questions, so that the others of a data
 * centre needn't ask.
 *
 * @module
 */

/** A gateway's report. */
export interface LossReport {
  readonly vm: string;
  readonly place: string;
  /** Engines that did not answer it while its streams over them stood still. */
  readonly engineIds: readonly string[];
}

/** Gathers the reports. */
export interface LossReports {
  /** Takes a report; gives the engines that the place is to be told of now. */
  take(report: LossReport): readonly string[];
}

/**
 * Gateways of one data centre that have to find an engine lost before the others
 * there are told: one alone may be cut off itself.
 */
const REPORTERS = 2;

/** Ms for which a report counts, and for which nothing is told again. */
const REPORT_MS = 2_000;

/**
 * Makes the reports, empty.
 *
 * @param options - Monotonic time, in ms.
 * @returns The reports.
 * @throws Nothing.
 * @example
 * const lost = reports.take({ vm, place, engineIds });
 */
export function createLossReports(
  options: { readonly now: () => number },
): LossReports {
  const { now } = options;
  const reporters = new Map<string, Map<string, number>>();
  const toldMs = new Map<string, number>();

  function isFresh(atMs: number): boolean {
    return now() - atMs < REPORT_MS;
  }

  function dropOld(): void {
    for (const [key, byVm] of reporters) {
      if (![...byVm.values()].some(isFresh)) reporters.delete(key);
    }
    for (const [key, atMs] of toldMs) {
      if (!isFresh(atMs)) toldMs.delete(key);
    }
  }

  function isNews(engineId: string, { vm, place }: LossReport): boolean {
    const key = `${place} ${engineId}`;
    const byVm = reporters.get(key) ?? new Map<string, number>();
    reporters.set(key, byVm.set(vm, now()));
    const count = [...byVm.values()].filter(isFresh).length;
    if (count < REPORTERS || toldMs.has(key)) return false;
    toldMs.set(key, now());
    return true;
  }

  return {
    take(report) {
      dropOld();
      return report.engineIds.filter((engineId) => isNews(engineId, report));
    },
  };
}
