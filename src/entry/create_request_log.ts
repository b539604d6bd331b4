/**
 * The newest requests and what happened to them, for `explain`.
 *
 * @module
 */

import { forgetOldest } from "../collections/index.ts";
import type { Outcome } from "../model/index.ts";
import type { TraceStep } from "./request_context.ts";

/** What is kept of a request. */
export interface RequestTrace {
  readonly requestId: string;
  readonly service: string;
  readonly clientAccount: string;
  readonly steps: readonly TraceStep[];
  readonly outcome: Outcome | "running";
}

/** A request that is being traced. */
export interface OpenTrace {
  note(what: string): void;
  end(outcome: Outcome): void;
}

/** The newest requests. */
export interface RequestLog {
  open(
    of: Pick<RequestTrace, "requestId" | "service" | "clientAccount">,
  ): OpenTrace;
  find(requestId: string): RequestTrace | undefined;
}

/** Requests that are kept. */
const MAX_TRACES = 2_000;

/** Steps of one request that are kept. */
const MAX_STEPS = 64;

/**
 * Makes the log of the newest requests.
 *
 * @param options - Monotonic time, in ms.
 * @returns The log, empty.
 * @throws Nothing.
 * @example
 * const requests = createRequestLog({ now });
 */
export function createRequestLog(options: { now: () => number }): RequestLog {
  const { now } = options;
  const traces = new Map<string, RequestTrace & { steps: TraceStep[] }>();
  return {
    open(of) {
      const startedMs = now();
      const trace = {
        ...of,
        steps: [] as TraceStep[],
        outcome: "running" as RequestTrace["outcome"],
      };
      traces.set(of.requestId, trace);
      forgetOldest(traces, MAX_TRACES);
      return {
        note(what) {
          if (trace.steps.length >= MAX_STEPS) return;
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
