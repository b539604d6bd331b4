/**
 * How a request ended.
 *
 * @module
 */

/**
 * How a request ended: `done` got a complete answer, `not_run` certainly did not
 * run, `failed` ran and failed, `unknown` may have run.
 */
export type Outcome = "done" | "not_run" | "failed" | "unknown";

/** Headers that callers and entries exchange. */
export const HEADERS = {
  outcome: "crowlever-outcome",
  repeatable: "crowlever-repeatable",
  deadlineMs: "crowlever-deadline-ms",
  priority: "crowlever-priority",
  requestId: "crowlever-request-id",
  path: "crowlever-path",
  reason: "crowlever-reason",
  rateLimit: "crowlever-rate-limit",
  idempotencyKey: "idempotency-key",
} as const;
