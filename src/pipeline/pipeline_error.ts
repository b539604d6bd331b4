/**
 * Errors of pipelines.
 *
 * @module
 */

import ModernError from "modern-errors";

/** Base class of pipeline errors. */
export const PipelineError = ModernError.subclass("PipelineError");

/** An invariant of the pipeline is violated; the request fails. */
export const PipelineInvariantError = PipelineError.subclass(
  "PipelineInvariantError",
);
