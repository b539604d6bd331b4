/**
 * Reads the stalled requests of engines; one read serves all requests that wait for it.
 *
 * @module
 */

import type { EngineNotice } from "../engines/index.ts";
import type {
  AddressedPart,
  EngineControl,
  StalledRequest,
} from "./protocol.ts";

/** Options of {@link createStallReports}. */
export interface CreateStallReportsOptions {
  readonly engineControl: Pick<EngineControl, "listStalledRequests">;
  /** Called with the status notice in an engine's answer. */
  readonly onNotice: (engineId: string, notice: EngineNotice) => void;
  /** Whether an engine may be queried now. */
  readonly mayQuery: (engineId: string) => boolean;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Reads and caches the stalled requests of engines. */
export interface StallReports {
  /**
   * Returns the stalled requests of an engine: none if it may not be queried now.
   * Rejects if the engine gives no report.
   */
  read(
    engine: Pick<AddressedPart, "engineId" | "address">,
  ): Promise<readonly StalledRequest[]>;
}

/** Ms for which a report is cached; reports of engines lag by as much anyway. */
const REPORT_TTL_MS = 250;

/** Time-out, in ms, of reading a report. */
const REPORT_TIMEOUT_MS = 250;

interface CachedReport {
  readonly atMs: number;
  readonly report: Promise<readonly StalledRequest[]>;
}

/**
 * Creates a reader of stalled requests.
 *
 * @param options - How engines are queried, and the clock.
 * @returns The reader.
 * @throws Nothing.
 * @example
 * const stalled = await stallReports.read({ engineId, address });
 */
export function createStallReports(
  options: CreateStallReportsOptions,
): StallReports {
  const { engineControl, now } = options;
  const reportsByAddress = new Map<string, CachedReport>();
  return {
    read({ engineId, address }) {
      const last = reportsByAddress.get(address);
      if (last && now() - last.atMs < REPORT_TTL_MS) return last.report;
      if (!options.mayQuery(engineId)) return Promise.resolve([]);
      const report = engineControl.listStalledRequests(address, {
        timeoutMs: REPORT_TIMEOUT_MS,
        onNotice: (notice) => options.onNotice(engineId, notice),
      });
      // The callers handle a failure; this avoids an unhandled rejection.
      report.catch(() => {});
      reportsByAddress.set(address, { atMs: now(), report });
      return report;
    },
  };
}
