/**
 * Thresholds and durations of the quarantine.
 *
 * @module
 */

/**
 * Number of upstreams that crash under a request before it may run on trial only. A
 * single crash may be a coincidence: engines that fail together, such as nine of 39 at
 * once, each fail under many unrelated requests. The crash on trial is the third and
 * last one; callers may see up to four.
 */
export const CRASHES_BEFORE_TRIAL = 2;

/** Maximum number of crashes kept per case; the oldest are dropped first. */
export const MAX_CASE_ENGINES = 8;

/**
 * Maximum number of cases. One crash under load adds about 40 cases of innocent
 * requests and those of the parts of their prompts, most of which are cleared within a
 * second. Cases without a conviction and
 * with the fewest crashes are evicted first, and the oldest among equals.
 */
export const MAX_CASES = 2_000;

/** Hold after the first conviction; longer than callers keep retrying. */
export const FIRST_HOLD_MS = 300_000;

/** Upper bound of a hold, however often the request was convicted. */
export const MAX_HOLD_MS = 3_600_000;

/** Hold after the first conviction of a part of prompts. */
export const FIRST_PART_HOLD_MS = 600_000;

/**
 * Factor by which the hold of a part grows with each conviction. The trial after each
 * hold crashes one more upstream if the part still does: three a day with this factor.
 */
export const PART_HOLD_FACTOR = 8;

/** Upper bound of the hold of a part. */
export const MAX_PART_HOLD_MS = 86_400_000;

/**
 * Heartbeats of an upstream, after its crash was recorded, that show that it runs. The
 * first one may have been sent before the crash.
 */
export const HEARTBEATS_TO_REFUTE = 2;

/** Retention of a suspicion that has not been confirmed. */
export const SUSPICION_RETENTION_MS = 600_000;

/** Retention of a conviction after the end of its hold. */
export const CONVICTION_RETENTION_MS = 3_600_000;

/**
 * Time, in ms, since the last change of its cases after which a request with several
 * suspects gets its trial. Requests that have only one of them are tried first, as
 * their result tells the suspects apart.
 */
export const JOINT_TRIAL_DELAY_MS = 2_000;

/**
 * Time, in ms, after the crash of a trial in which other gateways report which suspect
 * parts had just begun at the same upstream.
 */
export const TRIAL_SETTLE_MS = 80;

/** Time, from the gateway's request, within which a trial must start. */
export const TRIAL_START_MS = 5_000;

/**
 * Maximum time for which a trial keeps other suspects off its upstream, unless its
 * gateway reports the end earlier. This is as long as callers wait, since the trial may
 * be queued at the upstream.
 */
export const MAX_TRIAL_MS = 25_000;
