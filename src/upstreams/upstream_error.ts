/**
 * Errors of calls to upstreams.
 *
 * @module
 */

import ModernError from "modern-errors";
import type { DispatchFailure } from "../retry/index.ts";

/** Base class of all errors of calls to upstreams. */
export const UpstreamError = ModernError.subclass("UpstreamError");

/** A call to an upstream failed; `failure` describes the phase and the cause. */
export const DispatchError = UpstreamError.subclass("DispatchError", {
  props: { failure: undefined as DispatchFailure | undefined },
});

/**
 * Gets the failure from the error of a failed call.
 *
 * @param error - Any error.
 * @returns The failure, or undefined if the error is not a {@link DispatchError}.
 * @throws Nothing.
 * @example
 * const failure = getDispatchFailure(error);
 */
export function getDispatchFailure(
  error: unknown,
): DispatchFailure | undefined {
  if (!(error instanceof DispatchError)) return undefined;
  return (error as { failure?: DispatchFailure }).failure;
}
