/**
 * Traces of the most recent requests, for `explain`.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";
import type { Outcome } from "../model/index.ts";
import type { TraceStep } from "./request_context.ts";

/** The trace of a request. */
export interface RequestTrace {
  readonly requestId: string;
  readonly service: string;
  readonly clientAccount: string;
  readonly steps: readonly TraceStep[];
  readonly outcome: Outcome | "running";
}

/** The trace of a request in flight. */
export interface ActiveTrace {
  addStep(what: string): void;
  end(outcome: Outcome): void;
}

/** Traces of the most recent requests. */
export interface RequestLog {
  open(
    request: Pick<RequestTrace, "requestId" | "service" | "clientAccount">,
  ): ActiveTrace;
  find(requestId: string): RequestTrace | undefined;
}

/** Number of requests whose traces are kept. */
const MAX_TRACES = 2_000;

/** Number of steps kept for each request. */
const MAX_TRACE_STEPS = 64;

/**
 * Creates a log of the most recent requests.
 *
 * @param options - A monotonic clock, in ms.
 * @returns An empty log.
 * @throws Nothing.
 * @example
 * const requests = createRequestLog({ now });
 */
export function createRequestLog(options: { now: () => number }): RequestLog {
  const { now } = options;
  const traces = new Map<string, RequestTrace & { steps: TraceStep[] }>();
  return {
    open(request) {
      const startedMs = now();
      const trace = {
        ...request,
        steps: [] as TraceStep[],
        outcome: "running" as RequestTrace["outcome"],
      };
      traces.set(request.requestId, trace);
      evictOldest(traces, MAX_TRACES);
      return {
        addStep(what) {
          if (trace.steps.length >= MAX_TRACE_STEPS) return;
          trace.steps.push({ atMs: now() - startedMs, what });
        },
        end(outcome) {
          trace.outcome = outcome;
        },
      };
    },
    find: (requestId) => traces.get(requestId),
  };
}
