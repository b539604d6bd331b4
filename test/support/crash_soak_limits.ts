/**
 * Upper bounds on the engines that a crashing request may take down.
 *
 * @module
 */

/**
 * Engines that one request may crash: of three concurrent copies each may be sent
 * twice before all gateways know of the first crashes, and the trial crashes one more.
 */
export const MAX_CRASHES = 7;

/** Engines that requests with one part may crash: the target of five. */
export const MAX_PART_CRASHES = 5;

/** Engines that may crash after three crashes are known to all: that of the trial. */
export const MAX_LATE_CRASHES = 1;
