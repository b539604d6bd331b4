/**
 * Asks engines how slow they are, while gateways tell of slow streams.
 *
 * @module
 */

import type { EngineRecord } from "../engines/index.ts";

/** Reads an engine's own word on its pace; rejects where it gives none. */
export type ReadPace = (
  address: string,
  options: { timeoutMs: number },
) => Promise<number>;

/** What the watch needs of its program. */
export interface CreatePaceWatchOptions {
  /** Engines of which a request passes several. */
  readonly getEngines: () => readonly EngineRecord[];
  readonly readPace: ReadPace;
  readonly onPace: (engineId: string, pace: number) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Asks engines how slow they are. */
export interface PaceWatch {
  /** A gateway tells of slow streams. */
  noteSlow(): void;
  /** Asks if it is time to. */
  tick(): Promise<void>;
}

/** Ms between two rounds of questions. */
const ROUND_INTERVAL_MS = 900;

/** Ms for which rounds go on after the last sign of slowness. */
const WATCH_MS = 2_500;

/** Ms for an answer. */
const TIMEOUT_MS = 500;

/**
 * Makes the watch. A calm fleet is asked nothing; engines that were slow are
 * asked until they no longer are.
 *
 * @param options - The engines, and who hears of their pace.
 * @returns The watch.
 * @throws Nothing.
 * @example
 * const watch = createPaceWatch(options);
 */
export function createPaceWatch(options: CreatePaceWatchOptions): PaceWatch {
  const { now } = options;
  let slowMs = -Infinity;
  let askedMs = -Infinity;

  async function ask(engine: EngineRecord): Promise<void> {
    const { address, engineId } = engine;
    try {
      const pace = await options.readPace(address, { timeoutMs: TIMEOUT_MS });
      options.onPace(engineId, pace);
    } catch {
      // Silence is the business of beats and suspicions.
    }
  }

  return {
    noteSlow() {
      slowMs = now();
    },
    async tick() {
      if (now() - askedMs < ROUND_INTERVAL_MS) return;
      const engines = options.getEngines();
      const isTroubled = now() - slowMs < WATCH_MS;
      const asked = isTroubled
        ? engines
        : engines.filter((engine) => engine.slowness !== undefined);
      if (asked.length === 0) return;
      askedMs = now();
      await Promise.all(asked.map(ask));
    },
  };
}
