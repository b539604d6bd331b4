/**
 * Classifies failed dispatches by whether the request may have run.
 *
 * @module
 */

import type { DispatchFailure, FailureVerdict } from "./types.ts";

/**
 * Classifies a failed dispatch.
 *
 * The outcome is `not_run` only if no byte can have reached the upstream, or if
 * the upstream reported that it did not run the request. A server error is
 * `failed`. In every other case the request may have run: `unknown`.
 *
 * @param failure - The phase in which the dispatch failed, and the cause.
 * @returns The outcome, the reason, and whether a retry is safe.
 * @throws Nothing.
 * @example
 * classifyFailure({ phase: "connecting", fault: "refused" }).outcome; // "not_run"
 */
export function classifyFailure(failure: DispatchFailure): FailureVerdict {
  const { phase, fault, reportedNotRun: isNotRun = false } = failure;
  if (phase === "connecting") {
    return { outcome: "not_run", reason: "connect_failed", safeToRetry: true };
  }
  if (isNotRun) {
    return {
      outcome: "not_run",
      reason: "upstream_refused",
      safeToRetry: true,
    };
  }
  if (fault === "upstream_said") {
    return { outcome: "failed", reason: "upstream_error", safeToRetry: false };
  }
  if (fault === "timeout") {
    return { outcome: "unknown", reason: "timeout", safeToRetry: false };
  }
  const reason = phase === "answering"
    ? "reset_mid_answer"
    : "reset_before_answer";
  return { outcome: "unknown", reason, safeToRetry: false };
}
