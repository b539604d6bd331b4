/**
 * Errors of the control program.
 *
 * @module
 */

import ModernError from "modern-errors";

/** Base class of the control program's errors. */
export const ControlError = ModernError.subclass("ControlError");

/** This replica is not the leader, or lost leadership before it could answer. */
export const NotLeaderError = ControlError.subclass("NotLeaderError");

/** A proposal was rejected before it was appended to any log. */
export const ProposalRefusedError = ControlError.subclass(
  "ProposalRefusedError",
);

/** The quorum can't accept writes at the moment. */
export const UnavailableError = ControlError.subclass("UnavailableError");
