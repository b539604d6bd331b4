/**
 * Context of a request while the entry serves it.
 *
 * @module
 */

import type { Resource } from "../model/index.ts";

/** A step of a request's trace, for `explain`. */
export interface TraceStep {
  /** Time, in ms, since the request arrived. */
  readonly atMs: number;
  readonly what: string;
}

/** Context of a request in flight. */
export interface RequestContext {
  readonly requestId: string;
  readonly account: Resource<"clientAccount">;
  readonly service: Resource<"service">;
  readonly repeatable: boolean;
  /** The caller's idempotency key for a request that must not run twice. */
  readonly idempotencyKey: string | undefined;
  readonly priority: number;
  /** Arrival, as monotonic time in ms. */
  readonly startedMs: number;
  /** Deadline, as monotonic time in ms. */
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects or the answer stream has no reader. */
  readonly signal: AbortSignal;
  /** Adds a step to the trace shown by `explain`. */
  readonly addStep: (what: string) => void;
}
