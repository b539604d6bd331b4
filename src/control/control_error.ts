/**
 * Errors of the control program.
 *
 * @module
 */

import ModernError from "modern-errors";

/** Base of all errors of the control program. */
export const ControlError = ModernError.subclass("ControlError");

/** This replica does not lead, or stopped leading before the answer. */
export const NotLeaderError = ControlError.subclass("NotLeaderError");

/** A proposal was turned down before it could stand in any log. */
export const ProposalRefusedError = ControlError.subclass(
  "ProposalRefusedError",
);

/** The quorum can't take writes now. */
export const UnavailableError = ControlError.subclass("UnavailableError");
