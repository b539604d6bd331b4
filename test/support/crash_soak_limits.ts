/**
 * Upper bounds on the engines that a crashing request may take down.
 *
 * @module
 */

/**
 * Engines that one request may crash: of three concurrent copies each may be sent
 * twice before all gateways know of the first crashes, and the trial crashes one more.
 */
export const MOST_ENDS = 7;

/** Engines that may crash after three crashes are known to all: that of the trial. */
export const MOST_LATE_ENDS = 1;
