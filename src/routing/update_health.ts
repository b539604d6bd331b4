/**
 * Outlier ejection: excludes an upstream temporarily after consecutive failures.
 *
 * @module
 */

/** Failure record of an upstream. */
export interface UpstreamHealth {
  readonly failuresInRow: number;
  /** Ejections since the last success. */
  readonly ejections: number;
  /** Time, in ms, until which it is ejected. */
  readonly ejectedUntilMs: number;
}

/** Options of {@link updateHealth}. */
export interface UpdateHealthOptions {
  readonly nowMs: number;
  readonly failuresToEject?: number;
  readonly baseEjectionMs?: number;
  readonly maxEjectionMs?: number;
}

/** Consecutive failures after which an upstream is ejected. */
export const FAILURES_TO_EJECT = 3;

/** Duration of the first ejection, in ms; doubles with each further one. */
export const BASE_EJECTION_MS = 2_000;

/** Maximum duration of an ejection, in ms. */
export const MAX_EJECTION_MS = 60_000;

/** Health of an upstream without failures since its last success. */
export const HEALTHY: UpstreamHealth = {
  failuresInRow: 0,
  ejections: 0,
  ejectedUntilMs: 0,
};

/**
 * Updates an upstream's health with the result of one request.
 *
 * @param health - The health before the request.
 * @param succeeded - Whether the request succeeded at the upstream.
 * @param options - The time and the limits.
 * @returns The updated health.
 * @throws Nothing.
 * @example
 * const health = updateHealth(HEALTHY, false, { nowMs: 0 });
 */
export function updateHealth(
  health: UpstreamHealth,
  succeeded: boolean,
  options: UpdateHealthOptions,
): UpstreamHealth {
  if (succeeded) return HEALTHY;
  const {
    nowMs,
    failuresToEject = FAILURES_TO_EJECT,
    baseEjectionMs = BASE_EJECTION_MS,
    maxEjectionMs = MAX_EJECTION_MS,
  } = options;
  const failuresInRow = health.failuresInRow + 1;
  // After an ejection, a single further failure ejects the upstream again.
  const shouldEject = failuresInRow >= failuresToEject || health.ejections > 0;
  if (!shouldEject) return { ...health, failuresInRow };
  const ejectionMs = Math.min(
    maxEjectionMs,
    baseEjectionMs * 2 ** health.ejections,
  );
  return {
    failuresInRow: 0,
    ejections: health.ejections + 1,
    ejectedUntilMs: nowMs + ejectionMs,
  };
}
