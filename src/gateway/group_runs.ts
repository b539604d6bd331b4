/**
 * Groups the streams that fall silent together.
 *
 * @module
 */

/** What the search needs to know of a run. */
export interface RunSilence {
  /** Engine at which its path begins. */
  readonly firstEngineId: string;
  /** Whether it has given an event. */
  readonly hasBegun: boolean;
  /** Ms since its newest event, or since it was sent. */
  readonly silenceMs: number;
  /** Its usual pause between events, in ms; 0 before it had any. */
  readonly usualPauseMs: number;
}

/** Runs that begin at one engine. */
export interface RunGroup<R extends RunSilence> {
  readonly firstEngineId: string;
  readonly runs: readonly R[];
  /** Ms since the newest event of any of them. */
  readonly silenceMs: number;
  /** Silence, in ms, from which on their engines are asked. */
  readonly limitMs: number;
}

/**
 * Ms of silence of several streams at once. In their batch each gets an event
 * every 50 ms at another moment: on a quiet day (measured) one of two alone is
 * rarely silent for so long, both are only while a long prompt is read.
 */
export const SHARED_SILENCE_MS = 60;

/**
 * Ms of silence of a single stream: its longest pause on a quiet day was 112
 * ms (measured).
 */
export const SINGLE_SILENCE_MS = 115;

/**
 * Usual pauses of which a silence shared by several streams is more. Against the
 * fixed limits alone there are fewer questions to engines on days with trouble:
 * 38,800 on five days before, 23,500 after, at the same share of streams in time.
 */
const SHARED_PAUSES = 1.5;

/** Usual pauses of which the silence of a single stream is more. */
const SINGLE_PAUSES = 2.5;

/**
 * Groups runs by the engine at which they begin: those of one group mostly
 * share all engines, so where one engine is lost all of them fall silent.
 *
 * @param runs - The runs under way.
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

// Where engines are busy all pauses are longer, and silence says less.
function getLimitMs(members: readonly RunSilence[]): number {
  const begun = members.filter((run) => run.hasBegun);
  const pausesMs = begun.map((run) => run.usualPauseMs);
  const usualMs = pausesMs.reduce((sum, one) => sum + one, 0) /
    Math.max(1, begun.length);
  return begun.length > 1
    ? Math.max(SHARED_SILENCE_MS, SHARED_PAUSES * usualMs)
    : Math.max(SINGLE_SILENCE_MS, SINGLE_PAUSES * usualMs);
}
