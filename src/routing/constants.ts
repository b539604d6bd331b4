/**
 * Constants of routing and how each was come by; docs/design/routing.md has
 * the runs.
 *
 * @module
 */

/** Age, in ms, at which a report counts half. */
export const REPORT_HALF_LIFE_MS = 1_000;

/** Time, in ms, over which a newcomer's share grows to its full size. */
export const SLOW_START_MS = 10_000;

/** Part of its share that a newcomer gets at once. */
export const SLOW_START_FLOOR = 0.1;

/** Part of the upstreams that must stay in use whatever was ejected. */
export const MIN_USABLE_PART = 0.5;

/** Scores within this factor of the best are taken as equal. */
export const TIE_FACTOR = 1.02;
