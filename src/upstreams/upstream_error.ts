/**
 * Errors of calls to upstreams.
 *
 * @module
 */

import ModernError from "modern-errors";
import type { DispatchFailure } from "../retry/index.ts";

/** Base of all errors of calls to upstreams. */
export const UpstreamError = ModernError.subclass("UpstreamError");

/** A call to an upstream failed; `failure` says how far it had come. */
export const DispatchError = UpstreamError.subclass("DispatchError", {
  props: { failure: undefined as DispatchFailure | undefined },
});

/**
 * Gets how far a failed call had come.
 *
 * @param error - Any error.
 * @returns The failure, or undefined where it is no {@link DispatchError}.
 * @throws Nothing.
 * @example
 * const failure = getFailure(error);
 */
export function getFailure(error: unknown): DispatchFailure | undefined {
  if (!(error instanceof DispatchError)) return undefined;
  return (error as { failure?: DispatchFailure }).failure;
}
