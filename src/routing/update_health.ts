/**
 * Leaves an upstream out for a while after failures in a row.
 *
 * @module
 */

/** An upstream's failures. */
export interface Health {
  readonly failuresInRow: number;
  /** Ejections without a success since. */
  readonly ejections: number;
  /** Time, in ms, until which it is left out. */
  readonly ejectedUntilMs: number;
}

/** Options of {@link updateHealth}. */
export interface UpdateHealthOptions {
  readonly nowMs: number;
  readonly failuresToEject?: number;
  readonly baseEjectionMs?: number;
  readonly maxEjectionMs?: number;
}

/** Failures in a row after which an upstream is left out. */
export const FAILURES_TO_EJECT = 3;

/** First time, in ms, for which it is left out; doubled by each further one. */
export const BASE_EJECTION_MS = 2_000;

/** Longest time, in ms, for which it is left out. */
export const MAX_EJECTION_MS = 60_000;

/** An upstream that never failed. */
export const SOUND: Health = {
  failuresInRow: 0,
  ejections: 0,
  ejectedUntilMs: 0,
};

/**
 * Takes one result into an upstream's health.
 *
 * @param health - Its health so far.
 * @param succeeded - Whether the upstream did what was asked.
 * @param options - The time and the bounds.
 * @returns Its health now.
 * @throws Nothing.
 * @example
 * const health = updateHealth(SOUND, false, { nowMs: 0 });
 */
export function updateHealth(
  health: Health,
  succeeded: boolean,
  options: UpdateHealthOptions,
): Health {
  if (succeeded) return SOUND;
  const {
    nowMs,
    failuresToEject = FAILURES_TO_EJECT,
    baseEjectionMs = BASE_EJECTION_MS,
    maxEjectionMs = MAX_EJECTION_MS,
  } = options;
  const failuresInRow = health.failuresInRow + 1;
  // After an ejection one more failure is enough for the next.
  const enough = failuresInRow >= failuresToEject || health.ejections > 0;
  if (!enough) return { ...health, failuresInRow };
  const holdMs = Math.min(
    maxEjectionMs,
    baseEjectionMs * 2 ** health.ejections,
  );
  return {
    failuresInRow: 0,
    ejections: health.ejections + 1,
    ejectedUntilMs: nowMs + holdMs,
  };
}
