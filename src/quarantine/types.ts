/**
 * Requests that are suspected of ending the upstreams that run them.
 *
 * @module
 */

/** What is known against a request. */
export interface CrashCase {
  /** The same for all tries of the request. */
  readonly requestKey: string;
  /** Runs of upstreams that ended when they had just begun it, oldest first. */
  readonly engineIds: readonly string[];
  /** How often its upstream ended while it ran there as the only suspect. */
  readonly convictions: number;
}

/** An upstream that ended when it had just begun a request. */
export interface CrashReport {
  readonly requestKey: string;
  readonly engineId: string;
}

/** A report as the leader judged it. */
export interface JudgedReport extends CrashReport {
  /** Whether the request ran there on trial: as the only suspect. */
  readonly isTrial: boolean;
}

/** The cases by request. */
export type CrashCases = ReadonlyMap<string, CrashCase>;
