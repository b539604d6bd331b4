/**
 * Errors of the quorum layer.
 *
 * @module
 */

import ModernError from "modern-errors";

/** Base of all errors of the quorum layer. */
export const QuorumError = ModernError.subclass("QuorumError");

/** An invariant of the protocol does not hold: the process must stop. */
export const QuorumInvariantError = QuorumError.subclass(
  "QuorumInvariantError",
);
