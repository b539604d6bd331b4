/**
 * Errors of the entry program.
 *
 * @module
 */

import ModernError from "modern-errors";
import type { Problem } from "../http/index.ts";

/** Base of all errors of the entry program. */
export const EntryError = ModernError.subclass("EntryError");

/** A request ends with a problem; `problem` is what the caller gets. */
export const RequestProblemError = EntryError.subclass("RequestProblemError", {
  props: { problem: undefined as Problem | undefined },
});

/**
 * Gets the problem that a request ends with.
 *
 * @param error - Any error.
 * @returns The problem, or undefined where it is no {@link RequestProblemError}.
 * @throws Nothing.
 * @example
 * const outcome = getProblem(error)?.outcome ?? "unknown";
 */
export function getProblem(error: unknown): Problem | undefined {
  if (!(error instanceof RequestProblemError)) return undefined;
  return (error as { problem?: Problem }).problem;
}
