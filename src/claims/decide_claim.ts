/**
 * Decides whether a claim is granted.
 *
 * @module
 */

import type { Claim, ClaimBeginCommand, ClaimEndState } from "./types.ts";

/** Result of a request for a claim. */
export type ClaimVerdict =
  | { readonly verdict: "granted" }
  | { readonly verdict: "running"; readonly holder: string }
  | { readonly verdict: "ended"; readonly end: ClaimEndState }
  | { readonly verdict: "mismatch" };

/**
 * Decides whether a claim is granted.
 *
 * It is granted if there is no claim yet, or if the earlier request certainly did
 * not run. A claim that is running or has ended any other way is never granted
 * again, whoever holds it, so that the request runs at most once.
 *
 * @param existing - The existing claim, if any.
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
