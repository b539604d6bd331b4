/**
 * What becomes of a request for a claim.
 *
 * @module
 */

import type { Claim, ClaimBeginCommand, ClaimEndState } from "./types.ts";

/** What becomes of a request for a claim. */
export type ClaimVerdict =
  | { readonly verdict: "granted" }
  | { readonly verdict: "running"; readonly holder: string }
  | { readonly verdict: "ended"; readonly end: ClaimEndState }
  | { readonly verdict: "mismatch" };

/**
 * Decides what becomes of a request for a claim.
 *
 * It is granted where there is no claim, or where the earlier one surely did
 * not run. A claim that runs or has ended is never granted again, whoever
 * holds it: at most one run.
 *
 * @param existing - The claim that stands, if any.
 * @param command - The request.
 * @returns The verdict.
 * @throws Nothing.
 * @example
 * decideClaim(undefined, command); // { verdict: "granted" }
 */
export function decideClaim(
  existing: Claim | undefined,
  command: Pick<ClaimBeginCommand, "requestHash">,
): ClaimVerdict {
  if (!existing) return { verdict: "granted" };
  if (existing.requestHash !== command.requestHash) {
    return { verdict: "mismatch" };
  }
  if (!existing.end) return { verdict: "running", holder: existing.holder };
  if (existing.end.outcome === "not_run") return { verdict: "granted" };
  return { verdict: "ended", end: existing.end };
}
