/**
 * Runs that were abandoned recently because their callers disconnected. They may still
 * have crashed their upstream.
 *
 * @module
 */

import type { CrashReport } from "../quarantine/index.ts";

/** Runs that were abandoned recently. */
export interface AbandonedRuns {
  note(run: CrashReport): void;
  /** Removes and returns the runs that were abandoned recently on an upstream. */
  take(engineId: string): readonly CrashReport[];
  has(engineId: string): boolean;
}

/**
 * Time, in ms, for which an abandoned run may still crash its upstream: the upstream
 * drops it within half a second.
 */
const ABANDONED_TTL_MS = 500;

/**
 * Creates an empty list.
 *
 * @param options - Monotonic time, in ms.
 * @returns The list.
 * @throws Nothing.
 * @example
 * abandonedRuns.note({ requestKey, engineId });
 */
export function createAbandonedRuns(
  options: { readonly now: () => number },
): AbandonedRuns {
  const { now } = options;
  let runs: (CrashReport & { readonly atMs: number })[] = [];

  function listRuns(engineId: string): CrashReport[] {
    runs = runs.filter(({ atMs }) => now() - atMs < ABANDONED_TTL_MS);
    return runs.filter((one) => one.engineId === engineId)
      .map(({ atMs: _, ...run }) => run);
  }

  return {
    note(run) {
      runs = [...runs, { ...run, atMs: now() }];
    },
    take(engineId) {
      const taken = listRuns(engineId);
      runs = runs.filter((one) => one.engineId !== engineId);
      return taken;
    },
    has: (engineId) => listRuns(engineId).length > 0,
  };
}
