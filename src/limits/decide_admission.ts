/**
 * Admission control: run a request now, queue it, or reject it.
 *
 * @module
 */

import type { RefusalReason } from "../metrics/index.ts";

/** State of the entry and the request when the request arrives. */
export interface AdmissionInput {
  /** The service's requests in flight through this entry. */
  readonly inFlight: number;
  /** Limit on the service's requests in flight through this entry. */
  readonly maxInFlight: number;
  /** Requests in the queue. */
  readonly queued: number;
  readonly maxQueued: number;
  /** Queued requests that would be served before this one. */
  readonly queuedAhead: number;
  /** Whether a queued request would be served after this one. */
  readonly canDisplace: boolean;
  /** The client account's requests that are in flight or queued here. */
  readonly accountInFlight: number;
  readonly accountMaxInFlight: number;
  /** Recent completions per second; 0 if unknown. */
  readonly endedPerS: number;
  /** Time, in ms, until the caller's deadline. */
  readonly timeLeftMs: number;
  /** Typical run time of a request, in ms, without queueing; 0 if unknown. */
  readonly typicalRunMs: number;
}

/**
 * Run the request, queue it, or reject it with a time after which to retry.
 * If `displace` is set, the last request of the queue is rejected in its place.
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

/** Retry-after time, in ms, while the completion rate is unknown. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Multiple of the typical run time that must remain before the deadline when a
 * request leaves the queue. With a margin of 1, a seventh of all runs missed
 * their deadline at a load of twice the capacity; see docs/design/limits.md.
 */
export const RUN_TIME_MARGIN = 3;

/**
 * Decides whether a request runs, is queued or is rejected.
 *
 * A request that would miss its deadline is rejected immediately, with the time
 * that the backlog is expected to take. A full queue still accepts a request
 * that is served before another: the last one in the queue is rejected instead.
 *
 * @param input - State of the entry and the request.
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
  const isFull = queued >= maxQueued;
  if (isFull && !input.canDisplace) return refuse("queue_full", expectedWaitMs);
  const hasThroughput = input.endedPerS > 0;
  const neededMs = expectedWaitMs + RUN_TIME_MARGIN * input.typicalRunMs;
  if (hasThroughput && neededMs > input.timeLeftMs) {
    return refuse("deadline_too_near", expectedWaitMs);
  }
  return { decision: "queue", expectedWaitMs, displace: isFull };
}

function estimateWaitMs(input: AdmissionInput, position: number): number {
  if (input.endedPerS <= 0) return DEFAULT_RETRY_AFTER_MS;
  return (position / input.endedPerS) * 1_000;
}

function refuse(
  reason: RefusalReason,
  retryAfterMs: number,
): AdmissionDecision {
  return { decision: "refuse", reason, retryAfterMs };
}
