/**
 * Errors of the pipeline layer.
 *
 * @module
 */

import ModernError from "modern-errors";

/** Base of all errors of the pipeline layer. */
export const PipelineError = ModernError.subclass("PipelineError");

/** An invariant does not hold: the request ends as failed. */
export const PipelineInvariantError = PipelineError.subclass(
  "PipelineInvariantError",
);
