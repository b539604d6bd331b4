/**
 * How requests that end upstreams are judged.
 *
 * @module
 */

/**
 * Upstreams that end under a request before it runs on trial only. One may be
 * chance: nine of 39 engines lost at once end under as many requests each. The
 * trial's is the third and the last, where callers may see four.
 */
export const CRASHES_BEFORE_TRIAL = 2;

/** Ends that a case remembers: the newest are dropped last. */
export const MAX_CASE_ENGINES = 8;

/**
 * Cases that are kept: 40 of the calm ones stand for one upstream's end under load,
 * and most are cleared within a second. Those without a conviction and with
 * the fewest ends go first, the oldest of them before the others.
 */
export const MAX_CASES = 1_000;

/** Ms for which a convicted request is held back at first: longer than callers try. */
export const FIRST_HOLD_MS = 300_000;

/** Ms for which it is held back at most, however often it was convicted. */
export const MAX_HOLD_MS = 3_600_000;

/** Ms after which a suspicion is forgotten that nothing has confirmed. */
export const SUSPICION_AGE_MS = 600_000;

/** Ms after the end of a hold after which a conviction is forgotten. */
export const CONVICTION_AGE_MS = 3_600_000;

/** Ms, from the moment at which a gateway asks, for which a trial may begin. */
export const TRIAL_MS = 5_000;

/**
 * Ms for which a trial keeps other suspects off its upstream, unless its gateway says
 * that it has ended: as long as callers wait, for it may wait for its turn there.
 */
export const MAX_TRIAL_MS = 25_000;
