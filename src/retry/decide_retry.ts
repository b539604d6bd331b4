/**
 * Whether a failed dispatch is tried again, and when.
 *
 * @module
 */

import { getRetryWaitMs } from "./get_retry_wait_ms.ts";
import type { FailureVerdict } from "./types.ts";

/** What is known of the request. */
export interface RetryRequest {
  /** Tries made so far. */
  readonly tries: number;
  /** Whether a second run does no harm. */
  readonly repeatable: boolean;
  /** Whether the caller was already sent part of the answer. */
  readonly answerBegun: boolean;
  /** Time, in ms, at which the caller no longer wants it. */
  readonly deadlineMs: number;
}

/** Options of {@link decideRetry}. */
export interface DecideRetryOptions {
  readonly nowMs: number;
  /** A number in [0, 1). */
  readonly random: number;
  readonly maxTries?: number;
  readonly baseBackoffMs?: number;
  readonly maxBackoffMs?: number;
}

/** Tries at most, the first among them. */
export const MAX_TRIES = 3;

/** Longest wait before the second try, in ms; doubled by each further one. */
export const BASE_BACKOFF_MS = 20;

/** Longest wait before any try, in ms. */
export const MAX_BACKOFF_MS = 1_000;

/** A retry after a wait, or none and why. */
export type RetryDecision =
  | { readonly retry: true; readonly afterMs: number }
  | {
    readonly retry: false;
    readonly why: "may_have_run" | "answer_begun" | "tries_used" | "deadline";
  };

/**
 * Decides whether a failed dispatch is tried again.
 *
 * What is not repeatable is tried again only where the first try surely did
 * not run. Waits are drawn evenly between nothing and a bound that doubles, so
 * that callers that failed together do not come back together.
 *
 * @param verdict - What the failure means.
 * @param request - What is known of the request.
 * @param options - The time, a random number, the bounds.
 * @returns The decision.
 * @throws Nothing.
 * @example
 * decideRetry(verdict, request, { nowMs: 0, random: 0.5 });
 */
export function decideRetry(
  verdict: FailureVerdict,
  request: RetryRequest,
  options: DecideRetryOptions,
): RetryDecision {
  const {
    nowMs,
    random,
    maxTries = MAX_TRIES,
    baseBackoffMs = BASE_BACKOFF_MS,
    maxBackoffMs = MAX_BACKOFF_MS,
  } = options;
  if (request.answerBegun) return { retry: false, why: "answer_begun" };
  if (!verdict.safeToRetry && !request.repeatable) {
    return { retry: false, why: "may_have_run" };
  }
  if (request.tries >= maxTries) return { retry: false, why: "tries_used" };
  const afterMs = getRetryWaitMs(request.tries, {
    firstMs: baseBackoffMs,
    maxMs: maxBackoffMs,
    random: () => random,
  });
  if (nowMs + afterMs >= request.deadlineMs) {
    return { retry: false, why: "deadline" };
  }
  return { retry: true, afterMs };
}
