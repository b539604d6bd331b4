/**
 * Requests, and parts of prompts, that are suspected of crashing the upstreams that run
 * them.
 *
 * @module
 */

/** The crashes attributed to a request or to a part of prompts. */
export interface CrashCase {
  /** Key of a request, the same for all its attempts, or key of a part. */
  readonly requestKey: string;
  /** Incarnations that crashed shortly after they started it, oldest first. */
  readonly engineIds: readonly string[];
  /** Number of crashes while it was the only suspect at the upstream. */
  readonly convictions: number;
  /**
   * Parts that were convicted with it, since all requests that ran had them together.
   * Only requests that have all of them are held back; absent if there are none.
   */
  readonly heldWith?: readonly string[];
}

/** A crash of an upstream shortly after it started a request. */
export interface CrashReport {
  /** Key of the request, or of a part of its prompt. */
  readonly requestKey: string;
  readonly engineId: string;
  /**
   * Crashes of the part that were known to the gateway when it sent the request; absent
   * for the request itself.
   */
  readonly knownCrashes?: number;
}

/** A crash report with the leader's information about trials. */
export interface JudgedReport extends CrashReport {
  /** Whether the request ran there on trial, as the only suspect. */
  readonly isTrial: boolean;
  /** The other suspects of the same request; absent if there are none. */
  readonly alsoOnTrial?: readonly string[];
}

/** The cases by key. */
export type CrashCases = ReadonlyMap<string, CrashCase>;
