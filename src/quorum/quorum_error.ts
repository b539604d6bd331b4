/**
 * Errors of the quorum layer.
 *
 * @module
 */

import ModernError from "modern-errors";

/** Base class of the errors of the quorum layer. */
export const QuorumError = ModernError.subclass("QuorumError");

/** An invariant of the protocol was violated; the process must stop. */
export const QuorumInvariantError = QuorumError.subclass(
  "QuorumInvariantError",
);
