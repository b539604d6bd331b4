/**
 * What an entry knows of a request while it serves it.
 *
 * @module
 */

import type { Resource } from "../model/index.ts";

/** Something that happened to a request, for `explain`. */
export interface TraceStep {
  /** Ms since the request arrived. */
  readonly atMs: number;
  readonly what: string;
}

/** A request being served. */
export interface RequestContext {
  readonly requestId: string;
  readonly account: Resource<"clientAccount">;
  readonly service: Resource<"service">;
  readonly repeatable: boolean;
  /** The caller's key for a request that must not run twice. */
  readonly idempotencyKey: string | undefined;
  readonly priority: number;
  /** Monotonic time, in ms, when it arrived. */
  readonly startedMs: number;
  /** Monotonic time, in ms, after which the caller no longer wants it. */
  readonly deadlineMs: number;
  /** Aborted when nobody wants the answer any more. */
  readonly signal: AbortSignal;
  /** Notes a step for `explain`. */
  readonly note: (what: string) => void;
}
