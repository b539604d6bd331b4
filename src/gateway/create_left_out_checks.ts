/**
 * Checks whether upstreams that were left out for lack of an answer answer again, while
 * requests find no way without them.
 *
 * @module
 */

import type { EngineTable } from "./create_engine_table.ts";
import type { EngineView } from "./engine_view.ts";

/** Dependencies of {@link createLeftOutChecks}. */
export interface CreateLeftOutChecksOptions {
  readonly engines: Pick<EngineTable, "listUnanswered" | "readmit">;
  /** Whether an upstream answers; must not reject. */
  readonly checkAnswer: (engine: EngineView) => Promise<boolean>;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Checks of upstreams that are left out. */
export interface LeftOutChecks {
  /**
   * Checks the left-out upstreams of a service whose check is due. To be called each
   * time that a request finds no upstream or no path.
   *
   * @returns Whether one of them is used again.
   */
  check(service: string): Promise<boolean>;
}

/** Ms from an exclusion to the first check; doubles with each exclusion in a row. */
const FIRST_CHECK_MS = 100;

/** Longest interval, in ms, between two checks of an upstream. */
const MAX_INTERVAL_MS = 1_600;

/** Upstreams that are checked at a time. */
const MAX_CHECKED = 4;

interface CheckSchedule {
  /** When the upstream was excluded, in ms. */
  readonly suspectedMs: number;
  readonly dueMs: number;
  readonly intervalMs: number;
}

/**
 * Creates the checks. Leaving an upstream out is meant to prefer others. Where there
 * are none, one late answer would stop the service for as long as the exclusion lasts.
 * The interval between checks doubles, so that upstreams which really are gone cost a
 * few probes per exclusion, however many requests wait.
 *
 * @param options - The upstreams, how one is checked, and the clock.
 * @returns The checks.
 * @throws Nothing.
 * @example
 * void leftOutChecks.check(call.service);
 */
export function createLeftOutChecks(
  options: CreateLeftOutChecksOptions,
): LeftOutChecks {
  const { engines, checkAnswer, now } = options;
  const schedules = new Map<string, CheckSchedule>();

  function getSchedule(engine: EngineView): CheckSchedule {
    const { suspectedMs, suspicions, record: { engineId } } = engine;
    const known = schedules.get(engineId);
    if (known?.suspectedMs === suspectedMs) return known;
    const intervalMs = Math.min(
      MAX_INTERVAL_MS,
      FIRST_CHECK_MS * 2 ** Math.max(0, suspicions - 1),
    );
    return { suspectedMs, dueMs: suspectedMs + intervalMs, intervalMs };
  }

  function isDue(engine: EngineView): boolean {
    return now() >= getSchedule(engine).dueMs;
  }

  function postpone(engine: EngineView): void {
    const { suspectedMs, intervalMs } = getSchedule(engine);
    schedules.set(engine.record.engineId, {
      suspectedMs,
      dueMs: now() + intervalMs,
      intervalMs: Math.min(MAX_INTERVAL_MS, 2 * intervalMs),
    });
  }

  function deleteOutdated(): void {
    for (const [engineId, { dueMs }] of schedules) {
      if (now() - dueMs > 2 * MAX_INTERVAL_MS) schedules.delete(engineId);
    }
  }

  async function checkOne(engine: EngineView): Promise<boolean> {
    const { suspectedMs, record: { engineId } } = engine;
    postpone(engine);
    const hasAnswered = engine.probeAnsweredMs > suspectedMs ||
      await checkAnswer(engine);
    // It may have been excluded again in the meantime, for another reason.
    if (!hasAnswered || engine.suspectedMs !== suspectedMs) return false;
    engines.readmit(engineId);
    return true;
  }

  return {
    async check(service) {
      deleteOutdated();
      const due = engines.listUnanswered(service).filter(isDue)
        .slice(0, MAX_CHECKED);
      const results = await Promise.all(due.map(checkOne));
      return results.includes(true);
    },
  };
}
