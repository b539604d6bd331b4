/**
 * Types for failed dispatches and their classification.
 *
 * @module
 */

import type { RetryReason } from "../metrics/index.ts";
import type { Outcome } from "../model/index.ts";

/** Phase in which a dispatch failed. */
export type DispatchPhase =
  /** No connection was established; no byte can have reached the upstream. */
  | "connecting"
  /** The request was being sent, or was sent and no response had started. */
  | "sent"
  /** The response had started. */
  | "answering";

/** Cause of a failed dispatch; `upstream_said`: the upstream returned an error. */
export type DispatchFault = "refused" | "reset" | "timeout" | "upstream_said";

/** A failed dispatch. */
export interface DispatchFailure {
  readonly phase: DispatchPhase;
  readonly fault: DispatchFault;
  /** Whether the upstream reported in its response that it did not run the request. */
  readonly reportedNotRun?: boolean;
  /** HTTP status, if there was a response. */
  readonly status?: number;
  /** Back-off in ms that the upstream asked for, if any: no new work for this long. */
  readonly backOffMs?: number;
}

/** Classification of a failed dispatch. */
export interface FailureVerdict {
  /** Outcome of the request if it is not retried. */
  readonly outcome: Outcome;
  readonly reason: RetryReason;
  /** Whether a retry cannot run the request twice. */
  readonly safeToRetry: boolean;
}
