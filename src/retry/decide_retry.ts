/**
 * Decides whether a failed dispatch is retried, and after which delay.
 *
 * @module
 */

import { getRetryWaitMs } from "./get_retry_wait_ms.ts";
import type { FailureVerdict } from "./types.ts";

/** State of the request that failed. */
export interface RetryContext {
  /** Attempts made so far. */
  readonly tries: number;
  /** Whether the request is idempotent, so that running it twice is harmless. */
  readonly repeatable: boolean;
  /** Whether part of the response was already sent to the caller. */
  readonly answerBegun: boolean;
  /** The caller's deadline, as a time in ms. */
  readonly deadlineMs: number;
}

/** Options of {@link decideRetry}. */
export interface DecideRetryOptions {
  readonly nowMs: number;
  /** A number in [0, 1). */
  readonly random: number;
  readonly attemptLimit?: number;
  readonly baseBackoffMs?: number;
  readonly maxBackoffMs?: number;
}

/** Maximum number of attempts, including the first. */
export const MAX_ATTEMPTS = 3;

/** Maximum delay before the second attempt, in ms; doubles with each further attempt. */
export const BASE_BACKOFF_MS = 20;

/** Maximum delay before any attempt, in ms. */
export const MAX_BACKOFF_MS = 1_000;

/** Retry after a delay, or the reason not to retry. */
export type RetryDecision =
  | { readonly retry: true; readonly afterMs: number }
  | {
    readonly retry: false;
    readonly why: "may_have_run" | "answer_begun" | "tries_used" | "deadline";
  };

/**
 * Decides whether a failed dispatch is retried.
 *
 * A request that is not repeatable is retried only if the earlier attempt
 * certainly did not run. The delay is exponential back-off with full jitter, so
 * that callers that failed at the same time do not retry at the same time.
 *
 * @param verdict - Classification of the failure.
 * @param context - State of the request.
 * @param options - The time, a random number, the limits.
 * @returns The decision.
 * @throws Nothing.
 * @example
 * decideRetry(verdict, request, { nowMs: 0, random: 0.5 });
 */
export function decideRetry(
  verdict: FailureVerdict,
  context: RetryContext,
  options: DecideRetryOptions,
): RetryDecision {
  const {
    nowMs,
    random,
    attemptLimit = MAX_ATTEMPTS,
    baseBackoffMs = BASE_BACKOFF_MS,
    maxBackoffMs = MAX_BACKOFF_MS,
  } = options;
  if (context.answerBegun) return { retry: false, why: "answer_begun" };
  if (!verdict.safeToRetry && !context.repeatable) {
    return { retry: false, why: "may_have_run" };
  }
  if (context.tries >= attemptLimit) return { retry: false, why: "tries_used" };
  const afterMs = getRetryWaitMs(context.tries, {
    baseMs: baseBackoffMs,
    maxMs: maxBackoffMs,
    random: () => random,
  });
  if (nowMs + afterMs >= context.deadlineMs) {
    return { retry: false, why: "deadline" };
  }
  return { retry: true, afterMs };
}
