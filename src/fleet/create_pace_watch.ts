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

/** Dependencies of {@link createPaceWatch}. */
export interface CreatePaceWatchOptions {
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
export interface PaceWatch {
  /** Records a gateway's report of the engines over which slow streams run. */
  noteSlow(engineIds: readonly string[]): void;
  /** Polls engines, if a round is due. */
  tick(): Promise<void>;
}

/** Minimum ms between two polling rounds. */
const ROUND_INTERVAL_MS = 900;

/** Ms for which a report of slow streams counts. */
const WATCH_MS = 2_500;

/**
 * Maximum number of engines polled per round. With hundreds of gateways there is always
 * one with a slow stream, and each reports all engines of a path: the slow engine is
 * reported by most of them. Polling all of 216 engines in each round would be a
 * constant 240 calls per second.
 */
const MAX_ASKED = 16;

/** Reports, of several gateways or of one, that have to name an engine to poll it. */
const LEAST_NAMINGS = 2;

/** Deadline of a poll, in ms. */
const TIMEOUT_MS = 500;

interface Naming {
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
 * const watch = createPaceWatch(options);
 */
export function createPaceWatch(options: CreatePaceWatchOptions): PaceWatch {
  const { now, onNotice = () => {} } = options;
  let namings: Naming[] = [];
  let askedMs = -Infinity;

  async function ask(engine: EngineRecord): Promise<void> {
    const { address, engineId } = engine;
    try {
      const pace = await options.readPace(address, {
        timeoutMs: TIMEOUT_MS,
        onNotice: (notice) => onNotice(engineId, notice),
      });
      options.onPace(engineId, pace);
    } catch {
      // Unresponsive engines are detected by missing heartbeats and gateways' reports.
    }
  }

  function countNamings(): Map<string, number> {
    namings = namings.filter(({ atMs }) => now() - atMs < WATCH_MS);
    const counts = new Map<string, number>();
    for (const engineId of namings.flatMap((one) => one.engineIds)) {
      counts.set(engineId, (counts.get(engineId) ?? 0) + 1);
    }
    return counts;
  }

  // Engines known to be slow first, then those with the most reports.
  function listAsked(): EngineRecord[] {
    const counts = countNamings();
    const rank = ({ engineId, slowness }: EngineRecord) =>
      slowness === undefined ? counts.get(engineId) ?? 0 : Infinity;
    return options.getEngines()
      .filter((engine) => rank(engine) >= LEAST_NAMINGS)
      .sort((a, b) => rank(b) === rank(a) ? 0 : rank(b) - rank(a))
      .slice(0, MAX_ASKED);
  }

  return {
    noteSlow(engineIds) {
      if (engineIds.length > 0) namings.push({ atMs: now(), engineIds });
    },
    async tick() {
      if (now() - askedMs < ROUND_INTERVAL_MS) return;
      const asked = listAsked();
      if (asked.length === 0) return;
      askedMs = now();
      await Promise.all(asked.map(ask));
    },
  };
}
