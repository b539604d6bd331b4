/**
 * Whether a request runs now, waits, or is refused at once.
 *
 * @module
 */

import type { RefusalReason } from "../metrics/index.ts";

/** What is known when a request arrives. */
export interface AdmissionInput {
  /** The service's requests that run through this entry. */
  readonly inFlight: number;
  /** Requests that may run through it. */
  readonly maxInFlight: number;
  /** Requests that wait. */
  readonly queued: number;
  readonly maxQueued: number;
  /** Requests of the queue that would go before it. */
  readonly queuedAhead: number;
  /** Whether one of the queue would go behind it. */
  readonly hasLater: boolean;
  /** The client account's requests that run or wait here. */
  readonly accountInFlight: number;
  readonly accountMaxInFlight: number;
  /** Requests that lately ended in a second; 0 where none is known. */
  readonly endedPerS: number;
  /** Time, in ms, that the caller still gives it. */
  readonly timeLeftMs: number;
  /** Time, in ms, that a request takes once it runs; 0 where none is known. */
  readonly typicalRunMs: number;
}

/**
 * Runs, waits, or is refused with the time to come back. Where `displace` is
 * set, the last of the queue is refused in its stead.
 */
export type AdmissionDecision =
  | { readonly decision: "run" }
  | {
    readonly decision: "queue";
    readonly expectedWaitMs: number;
    readonly displace: boolean;
  }
  | {
    readonly decision: "refuse";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  };

/** Time, in ms, after which to come back where nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Typical run times that must be left once a request's turn comes: with one,
 * a seventh of all runs ended too late at twice the load; see
 * docs/design/limits.md.
 */
export const RUN_MARGIN = 3;

/**
 * Decides whether a request runs, waits or is refused.
 *
 * A request that would wait past its deadline is refused at once, with the
 * time after which the backlog will have gone. A full queue takes one that
 * goes before others: the last of those is refused instead.
 *
 * @param input - What is known.
 * @returns The decision.
 * @throws Nothing.
 * @example
 * const { decision } = decideAdmission(input);
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const { inFlight, maxInFlight, queued, maxQueued } = input;
  if (input.accountInFlight >= input.accountMaxInFlight) {
    return refuse("too_many_in_flight", estimateWaitMs(input, 1));
  }
  if (inFlight < maxInFlight && queued === 0) return { decision: "run" };
  const expectedWaitMs = estimateWaitMs(input, input.queuedAhead + 1);
  const full = queued >= maxQueued;
  if (full && !input.hasLater) return refuse("queue_full", expectedWaitMs);
  const known = input.endedPerS > 0;
  const neededMs = expectedWaitMs + RUN_MARGIN * input.typicalRunMs;
  if (known && neededMs > input.timeLeftMs) {
    return refuse("deadline_too_near", expectedWaitMs);
  }
  return { decision: "queue", expectedWaitMs, displace: full };
}

function estimateWaitMs(input: AdmissionInput, ahead: number): number {
  if (input.endedPerS <= 0) return DEFAULT_RETRY_AFTER_MS;
  return (ahead / input.endedPerS) * 1_000;
}

function refuse(
  reason: RefusalReason,
  retryAfterMs: number,
): AdmissionDecision {
  return { decision: "refuse", reason, retryAfterMs };
}
