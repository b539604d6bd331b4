/**
 * Constants of routing and how each was come by; docs/design/routing.md has
 * the runs.
 *
 * @module
 */

/** Time, in ms, over which a newcomer's share grows to its full size. */
export const SLOW_START_MS = 10_000;

/** Part of its share that a newcomer gets at once. */
export const SLOW_START_FLOOR = 0.1;

/** Part of the upstreams that must stay in use whatever was ejected. */
export const MIN_USABLE_PART = 0.5;

/** Scores within this factor of the best are taken as equal. */
export const TIE_FACTOR = 1.001;

/**
 * Least share that counts: an upstream outside the entry's interval is taken
 * only when nothing inside is left, or far behind.
 */
export const MIN_SHARE = 0.001;
