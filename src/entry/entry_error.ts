/**
 * Errors of the entry program.
 *
 * @module
 */

import ModernError from "modern-errors";
import type { Problem } from "../http/index.ts";

/** Base of all errors of the entry program. */
export const EntryError = ModernError.subclass("EntryError");

/** Ends a request with a problem; `problem` is the document sent to the caller. */
export const RequestProblemError = EntryError.subclass("RequestProblemError", {
  props: { problem: undefined as Problem | undefined },
});

/**
 * Gets the problem that a request ends with.
 *
 * @param error - Any error.
 * @returns The problem, or undefined if it is not a {@link RequestProblemError}.
 * @throws Nothing.
 * @example
 * const outcome = getProblem(error)?.outcome ?? "unknown";
 */
export function getProblem(error: unknown): Problem | undefined {
  if (!(error instanceof RequestProblemError)) return undefined;
  return (error as { problem?: Problem }).problem;
}
