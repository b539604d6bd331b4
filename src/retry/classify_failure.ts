/**
 * What a failed dispatch means for the request.
 *
 * @module
 */

import type { DispatchFailure, FailureVerdict } from "./types.ts";

/**
 * Says what a failed dispatch means.
 *
 * `not_run` only where no byte can have reached the upstream, or the upstream
 * itself says that it did not run the request. A server error is a known bad
 * end; everything else may have run.
 *
 * @param failure - How far the dispatch had come, and why it failed.
 * @returns The outcome, the reason, and whether a retry can't run it twice.
 * @throws Nothing.
 * @example
 * classifyFailure({ phase: "connecting", fault: "refused" }).outcome; // "not_run"
 */
export function classifyFailure(failure: DispatchFailure): FailureVerdict {
  const { phase, fault, saidNotRun = false } = failure;
  if (phase === "connecting") {
    return { outcome: "not_run", reason: "connect_failed", safeToRetry: true };
  }
  if (saidNotRun) {
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
