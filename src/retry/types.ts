/**
 * How a dispatch can fail and what follows from it.
 *
 * @module
 */

import type { RetryReason } from "../metrics/index.ts";
import type { Outcome } from "../model/index.ts";

/** How far a dispatch had come when it failed. */
export type DispatchPhase =
  /** No connection stood; no byte can have arrived. */
  | "connecting"
  /** The request was being written, or was written and not answered. */
  | "sent"
  /** The answer had begun. */
  | "answering";

/** Why it failed. */
export type DispatchFault = "refused" | "reset" | "timeout" | "upstream_said";

/** A failed dispatch. */
export interface DispatchFailure {
  readonly phase: DispatchPhase;
  readonly fault: DispatchFault;
  /** The upstream's own word, where it answered: it did not run the request. */
  readonly saidNotRun?: boolean;
  /** HTTP status, where there was one. */
  readonly status?: number;
  /** Ms for which the upstream wants no new work, where it asked for a back-off. */
  readonly backOffMs?: number;
}

/** What follows from a failed dispatch. */
export interface FailureVerdict {
  /** How the request ends if it is not tried again. */
  readonly outcome: Outcome;
  readonly reason: RetryReason;
  /** Whether a second run can't follow a first. */
  readonly safeToRetry: boolean;
}
