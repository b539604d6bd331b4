/**
 * Polls engines for their slowness while gateways report slow streams.
 *
 * @module
 */

import type {
  EngineCallOptions,
  EngineNotice,
  EngineRecord,
} from "../engines/index.ts";

/**
 * Reads the pace that an engine reports about itself, as a multiple of its usual time;
 * rejects if it reports none.
 */
export type ReadPace = (
  address: string,
  options: EngineCallOptions,
) => Promise<number>;

/** Dependencies of {@link createPaceMonitor}. */
export interface CreatePaceMonitorOptions {
  /** Engines of pipelines, where a request passes through several of them. */
  readonly getEngines: () => readonly EngineRecord[];
  readonly readPace: ReadPace;
  readonly onPace: (engineId: string, pace: number) => void;
  /** Called with the notice that an engine's response carries. */
  readonly onNotice?: (engineId: string, notice: EngineNotice) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Polls engines for their slowness. */
export interface PaceMonitor {
  /** Records a gateway's report of the engines over which slow streams run. */
  recordSlow(engineIds: readonly string[]): void;
  /** Polls engines, if a round is due. */
  tick(): Promise<void>;
}

/** Minimum ms between two polling rounds. */
const ROUND_INTERVAL_MS = 900;

/** Ms for which a report of slow streams counts. */
const REPORT_LIFETIME_MS = 2_500;

/**
 * Maximum number of engines polled per round. With hundreds of gateways there is always
 * one with a slow stream, and each reports all engines of a path: the slow engine is
 * reported by most of them. Polling all of 216 engines in each round would be a
 * constant 240 calls per second.
 */
const MAX_POLLED = 16;

/** Reports, of several gateways or of one, that have to name an engine to poll it. */
const MIN_REPORTS = 2;

/** Deadline of a poll, in ms. */
const POLL_TIMEOUT_MS = 500;

interface SlowReport {
  readonly atMs: number;
  readonly engineIds: readonly string[];
}

/**
 * Creates the monitor. Without reports of slow streams nothing is polled, except that
 * slow engines are polled until they have recovered.
 *
 * @param options - The engines, and where their pace is reported.
 * @returns The monitor.
 * @throws Nothing.
 * @example
 * const monitor = createPaceMonitor(options);
 */
export function createPaceMonitor(
  options: CreatePaceMonitorOptions,
): PaceMonitor {
  const { now, onNotice = () => {} } = options;
  let slowReports: SlowReport[] = [];
  let lastRoundMs = -Infinity;

  async function poll(engine: EngineRecord): Promise<void> {
    const { address, engineId } = engine;
    try {
      const pace = await options.readPace(address, {
        timeoutMs: POLL_TIMEOUT_MS,
        onNotice: (notice) => onNotice(engineId, notice),
      });
      options.onPace(engineId, pace);
    } catch {
      // Unresponsive engines are detected by missing heartbeats and gateways' reports.
    }
  }

  function countReports(): Map<string, number> {
    slowReports = slowReports.filter(({ atMs }) =>
      now() - atMs < REPORT_LIFETIME_MS
    );
    const counts = new Map<string, number>();
    for (const engineId of slowReports.flatMap((one) => one.engineIds)) {
      counts.set(engineId, (counts.get(engineId) ?? 0) + 1);
    }
    return counts;
  }

  // Engines known to be slow first, then those with the most reports.
  function listEnginesToPoll(): EngineRecord[] {
    const counts = countReports();
    const rank = ({ engineId, slowness }: EngineRecord) =>
      slowness === undefined ? counts.get(engineId) ?? 0 : Infinity;
    return options.getEngines()
      .filter((engine) => rank(engine) >= MIN_REPORTS)
      .sort((a, b) => rank(b) === rank(a) ? 0 : rank(b) - rank(a))
      .slice(0, MAX_POLLED);
  }

  return {
    recordSlow(engineIds) {
      if (engineIds.length > 0) slowReports.push({ atMs: now(), engineIds });
    },
    async tick() {
      if (now() - lastRoundMs < ROUND_INTERVAL_MS) return;
      const polled = listEnginesToPoll();
      if (polled.length === 0) return;
      lastRoundMs = now();
      await Promise.all(polled.map(poll));
    },
  };
}
