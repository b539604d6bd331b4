/**
 * The metrics that the programs send. `docs/METRICS.md` lists them.
 *
 * @module
 */

/** Why a request was refused; each has its counter and problem document. */
export const REFUSAL_REASONS = {
  unknown_key: "The key belongs to no client account",
  unknown_service: "No such service is declared",
  bad_request: "The request can't be understood",
  body_too_large: "The body is larger than allowed",
  rate_limited: "The client account's rate is used up",
  too_many_in_flight: "The client account has too many requests in flight",
  queue_full: "The service's queue is full",
  deadline_too_near: "The request can't finish before its deadline",
  no_upstream: "No upstream can take the request now",
  no_chain: "No chain of upstreams covers the model's layers",
  no_quorum: "Control can't record the claim now",
  claim_running: "The same request is running",
  claim_unknown: "The same request was begun and its end is not known",
  claim_mismatch: "The idempotency key was used for another request",
  leaving: "This entry is stopping",
  no_config: "This entry has no configuration yet",
  stale_config: "This entry has not heard from control for too long",
  not_found: "No such address",
  not_resumable: "The answer is no longer kept here",
  not_taken: "No upstream took the request before its time ran out",
  deadline: "The request's time ran out while an upstream worked on it",
  held_back: "Upstreams ended under the request; it is held back for a while",
  awaits_trial:
    "Upstreams ended under the request; it has no turn to be tried yet",
  resting:
    "All upstreams that could take the request have asked for a back-off",
  limited: "All upstreams that could take the request are at their rate limits",
  outcome_unknown: "The request was sent, and whether it ran is not known",
  answer_broken: "The upstream's answer broke off",
} as const;

/** Why a request was refused. */
export type RefusalReason = keyof typeof REFUSAL_REASONS;

/** Why an upstream was tried again. */
export const RETRY_REASONS = {
  connect_failed: "No connection could be made; nothing was sent",
  upstream_refused: "The upstream said that it did not run the request",
  reset_before_answer: "The connection was cut before an answer",
  reset_mid_answer: "The connection was cut within the answer",
  timeout: "The upstream did not answer in time",
  upstream_error: "The upstream answered with a server error",
  stage_rejected: "A stage refused a step as out of order",
} as const;

/** Why an upstream was tried again. */
export type RetryReason = keyof typeof RETRY_REASONS;

/** All other counters, gauges and timings, with their meaning. */
export const METRICS = {
  "requests.started": "Requests that callers began",
  "requests.done": "Requests that ended done",
  "requests.not_run": "Requests that ended not run",
  "requests.failed": "Requests that ended failed",
  "requests.unknown": "Requests that ended unknown",
  "requests.in_flight": "Requests in flight",
  "requests.queued": "Requests waiting",
  "requests.duration_ms": "Time from a request's head to its end, in ms",
  "requests.first_token_ms": "Time to the first token, in ms",
  "requests.queue_ms": "Time that a request waited, in ms",
  "requests.caller_gone": "Callers that went away before the end",
  "retry.budget_spent": "Retries that the budget forbade",
  "pipeline.late_frames": "Answers of an older epoch, dropped",
  "pipeline.repairs": "Chains that went on over another stage",
  "pipeline.invariant": "Broken invariants of a pipeline",
  "upstream.ejected": "Upstreams left out for a while",
  "upstream.end_checks": "Looks whether an upstream ended under a request",
  "upstream.ended_under_request":
    "Runs that had just begun when their upstream ended",
  "process.loop_delay_ms":
    "Time for which the event loop stood still, in ms; long ones only",
  "config.revision": "Revision in force at this process",
  "config.apply_ms": "Time for which a gateway applies a configuration, in ms",
  "config.publish_ms":
    "Time for which the leader writes a configuration to all sessions, in ms",
  "config.rollout_ms":
    "Time from the acceptance of a configuration until it is in force at all gateways, in ms",
  "config.changes_made": "Differences of two configurations that were made",
  "config.lagging": "Gateways where the newest configuration is not in force",
  "config.lease_ms": "Ms for which the configuration may still be trusted",
  "quarantine.suspects": "Requests under which upstreams ended",
  "quarantine.held": "Requests that are held back for it",
  "entries.unreadable": "Heartbeats and configurations that could not be read",
  "engines.known": "Upstreams that registered",
  "engines.rests_asked": "Answers in which upstreams asked for a back-off",
  "engines.resting": "Upstreams that want nothing of this gateway for now",
  "engines.limits_named": "Answers in which upstreams named a new rate limit",
  "engines.limited": "Upstreams that are limited",
  "grants.requested":
    "Sends to limited upstreams for which the leader was asked",
  "grants.denied": "Times that a limited upstream had no send left",
  "grants.unanswered": "Requests for sends that the leader did not answer",
  "requests.withheld":
    "Requests that had not left yet when their upstream asked for a back-off or left",
  "engines.suspected": "Upstreams left out for a while by this gateway",
  "paths.changed": "Running requests moved to other parts of a path",
  "streams.resumed": "Streams that went on in another run",
  "logs.dropped": "Log lines dropped for a slow reader or over the budget",
  "config.stale": "Older configurations that were ignored",
  "control.sessions": "Sessions with entries",
  "control.hellos": "Hellos of gateways that look for the leader",
  "control.hellos_waiting": "Gateways that wait here until a leader is known",
  "control.hellos_redirected": "Gateways that were sent to another process",
  "control.changes": "Changes accepted",
  "control.claims": "Claims granted",
  "control.orders": "Orders given to upstreams",
  "quorum.term": "Current term",
  "quorum.commit_ms": "Time from a proposal to its commit, in ms",
  "quorum.sync_ms": "Time of a sync, in ms",
  "quorum.log_entries": "Entries in the log since its start",
} as const;

/** The name of a metric. */
export type MetricName = keyof typeof METRICS;
