/**
 * Requests that are suspected of crashing the upstreams that run them.
 *
 * @module
 */

/** The crashes attributed to a request. */
export interface CrashCase {
  /** The same for all attempts of the request. */
  readonly requestKey: string;
  /** Incarnations that crashed shortly after they started it, oldest first. */
  readonly engineIds: readonly string[];
  /** Number of crashes while it was the only suspect at the upstream. */
  readonly convictions: number;
}

/** A crash of an upstream shortly after it started a request. */
export interface CrashReport {
  readonly requestKey: string;
  readonly engineId: string;
}

/** A crash report with the leader's information about trials. */
export interface JudgedReport extends CrashReport {
  /** Whether the request ran there on trial, as the only suspect. */
  readonly isTrial: boolean;
}

/** The cases by request key. */
export type CrashCases = ReadonlyMap<string, CrashCase>;
