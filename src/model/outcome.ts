/**
 * How a request ended.
 *
 * @module
 */

/**
 * How a request ended: `done` is a whole answer, `not_run` surely did not run,
 * `failed` ran and came to a known bad end, `unknown` may have run.
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
