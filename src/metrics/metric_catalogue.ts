/**
 * The metrics that the programs send. `docs/METRICS.md` lists them.
 *
 * @module
 */

/** Why a request was rejected; each reason has its counter and problem document. */
export const REFUSAL_REASONS = {
  unknown_key: "The key belongs to no client account",
  unknown_service: "No such service is declared",
  bad_request: "The request can't be understood",
  body_too_large: "The body is larger than allowed",
  body_memory: "The bodies of other requests use the memory for it",
  body_timeout: "The body did not arrive in time",
  rate_limited: "The client account's rate is used up",
  too_many_in_flight: "The client account has too many requests in flight",
  queue_full: "The service's queue is full",
  deadline_too_near: "The request can't finish before its deadline",
  no_upstream: "No upstream can take the request now",
  overload:
    "The capacity that is left is reserved for more urgent requests of the service",
  no_chain: "No chain of upstreams covers the model's layers",
  no_quorum: "Control can't record the claim now",
  claim_running: "The same request is running",
  claim_unknown: "The same request was begun and its end is not known",
  claim_mismatch: "The idempotency key was used for another request",
  leaving: "This entry is stopping",
  no_config: "This entry has no configuration yet",
  stale_config: "This entry has not heard from control for too long",
  cut_off:
    "This entry reaches no upstream of the service, and no other entry can take the request",
  peer_limit:
    "This entry serves as many requests of other entries as it takes on",
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
  internal_error: "An unexpected error; whether the request ran is not known",
} as const;

/** Why a request was rejected. */
export type RefusalReason = keyof typeof REFUSAL_REASONS;

/** Why a request was retried. */
export const RETRY_REASONS = {
  connect_failed: "No connection could be made; nothing was sent",
  upstream_refused: "The upstream reported that it did not run the request",
  reset_before_answer: "The connection was cut before an answer",
  reset_mid_answer: "The connection was cut within the answer",
  timeout: "The upstream did not answer in time",
  upstream_error: "The upstream answered with a server error",
  stage_rejected: "A stage rejected a step as out of order",
} as const;

/** Why a request was retried. */
export type RetryReason = keyof typeof RETRY_REASONS;

/** All other counters, gauges and timings, with their help texts. */
export const METRICS = {
  "requests.started": "Requests received from callers",
  "requests.done": "Requests that ended with the outcome done",
  "requests.not_run": "Requests that ended with the outcome not_run",
  "requests.failed": "Requests that ended with the outcome failed",
  "requests.unknown": "Requests that ended with the outcome unknown",
  "requests.in_flight": "Requests in flight",
  "requests.queued": "Requests waiting in a queue",
  "requests.duration_ms": "Time from a request's headers to its end, in ms",
  "requests.first_token_ms": "Time to the first token, in ms",
  "requests.queue_ms": "Time that a request waited in a queue, in ms",
  "admission.held":
    "Less urgent streams that waited or were refused because no path was free within the share of their rank",
  "admission.ranked_services":
    "Services with upstreams whose requests have two or more distinct priorities",
  "requests.caller_gone": "Requests whose caller disconnected before the end",
  "callers.connections_closed":
    "Connections of callers that were closed for a limit on connections, requests or heads",
  "retry.budget_spent": "Retries denied by the retry budget",
  "pipeline.late_frames": "Answers of an older epoch, dropped",
  "pipeline.repairs": "Chains that continued with a replacement stage",
  "pipeline.invariant": "Violated invariants of pipelines",
  "upstream.ejected": "Upstreams ejected for a while",
  "upstream.end_checks":
    "Checks whether an upstream crashed while it ran a request",
  "upstream.end_suspicions":
    "Runs that had just begun when their upstream refused connections",
  "upstream.ended_under_request":
    "Runs that had just begun when their upstream crashed",
  "upstream.limits_exceeded":
    "Answers of which an upstream sent more than a limit allows",
  "process.loop_delay_ms":
    "Time for which the event loop was blocked, in ms; only long ones",
  "process.starts_after_stop":
    "Starts on this data folder after a graceful shutdown",
  "process.starts_after_failure":
    "Starts on this data folder after an end that named an error",
  "process.starts_after_unrecorded_end":
    "Starts on this data folder after an end without a reason, such as a kill",
  "config.revision": "Configuration revision applied by this process",
  "config.apply_ms":
    "Time that a gateway takes to apply a configuration, in ms",
  "config.publish_ms":
    "Time that the leader takes to write a configuration to all sessions, in ms",
  "config.rollout_ms":
    "Time from the acceptance of a configuration until all gateways apply it, in ms",
  "config.changes_made": "Computed differences between two configurations",
  "config.lagging": "Gateways that do not apply the newest configuration yet",
  "config.lease_ms": "Time until the lease on the configuration expires, in ms",
  "quarantine.suspects": "Requests suspected of crashing upstreams",
  "quarantine.held": "Suspected requests that are held back",
  "entries.unreadable": "Unreadable heartbeats and configuration entries",
  "engines.known": "Registered upstreams",
  "engines.rests_asked": "Answers in which an upstream asked for a back-off",
  "engines.resting": "Upstreams that this gateway is backing off from",
  "engines.limits_named":
    "Answers in which an upstream announced a new rate limit",
  "engines.limited": "Upstreams with a rate limit",
  "grants.requested":
    "Grants requested from the leader for sends to rate-limited upstreams",
  "grants.denied":
    "Grant answers that reported an upstream's rate limit as used up",
  "grants.unanswered": "Grant requests that the leader did not answer",
  "requests.withheld":
    "Requests withheld because their upstream backed off or left before they were sent",
  "peers.forwarded": "Requests passed on to another gateway",
  "peers.not_served":
    "Requests passed on to another gateway that did not serve them",
  "peers.taken": "Requests taken from other gateways",
  "services.cut_off": "Services whose upstreams this gateway can't reach",
  "services.partitions":
    "Times at which this gateway was cut off from a service's upstreams",
  "upstream.reach_probes":
    "Connections opened to find out whether upstreams can be reached",
  "engines.left_out":
    "Registered upstreams that this gateway leaves out after failures",
  "engines.suspected":
    "Upstreams suspected by this gateway and left out for a while",
  "paths.changed": "Running requests moved to another path",
  "streams.resumed": "Streams resumed by another run of the request",
  "linkBudget.granted":
    "Paths over the link between data centres that its budget allowed",
  "linkBudget.denied":
    "Times at which no path within a data centre was left and the link's budget denied one across",
  "logs.dropped":
    "Log lines dropped because of the rate limit or a slow reader",
  "config.stale": "Ignored configurations that were older than the current one",
  "control.sessions": "Open sessions with entries",
  "control.hellos": "Hello messages of gateways that look for the leader",
  "control.hellos_waiting": "Gateways waiting here until a leader is known",
  "control.hellos_redirected": "Gateways redirected to another control process",
  "control.changes": "Changes accepted",
  "control.claims": "Claims granted",
  "control.orders": "Orders sent to upstreams",
  "quorum.term": "Current term",
  "quorum.commit_ms": "Time from a proposal to its commit, in ms",
  "quorum.sync_ms": "Time to append to the log and sync it to disk, in ms",
  "quorum.log_entries": "Log entries applied since the process started",
  "quorum.tolerated_losses":
    "Further losses of responsive voters that leave a majority, as the leader counts them; 0 on all other processes",
} as const;

/** The name of a metric. */
export type MetricName = keyof typeof METRICS;
