/**
 * Constants of upstream selection; docs/design/routing.md has the measurements
 * behind them.
 *
 * @module
 */

/** Time, in ms, over which a new upstream's share ramps up to its full size. */
export const SLOW_START_MS = 10_000;

/** Fraction of its share that a new upstream gets at the start of the ramp-up. */
export const MIN_SLOW_START_FACTOR = 0.1;

/** Ejections are ignored if fewer than this fraction of the upstreams would remain. */
export const MIN_USABLE_FRACTION = 0.5;

/** Scores within this factor of the best count as ties. */
export const TIE_FACTOR = 1.001;

/**
 * Lower bound of a share in the score: an upstream outside the entry's interval
 * is chosen only if all those inside are unusable or heavily loaded.
 */
export const MIN_SHARE = 0.001;
