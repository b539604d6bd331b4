/**
 * The claim ledger: who may run a request that must not run twice.
 *
 * Unlike the other state machines, the ledger is changed in place: it holds
 * hundreds of thousands of claims, and a copy per claim would cost more than the
 * claim itself. Only the apply loop writes to it; the decision about a claim is
 * made by the pure function {@link decideClaim}.
 *
 * @module
 */

import { type ClaimVerdict, decideClaim } from "./decide_claim.ts";
import type { Claim, ClaimBeginCommand, ClaimEndCommand } from "./types.ts";

/** All claims within the retention window, oldest first. */
export interface ClaimLedger {
  readonly claims: Map<string, Claim>;
  readonly windowMs: number;
}

/**
 * Creates an empty ledger.
 *
 * @param options - The retention window of claims, in ms.
 * @returns The ledger.
 * @throws Nothing.
 * @example
 * const ledger = createClaimLedger({ windowMs: 900_000 });
 */
export function createClaimLedger(options: { windowMs: number }): ClaimLedger {
  return { claims: new Map(), windowMs: options.windowMs };
}

/**
 * Records a claim, or returns the state of the existing one.
 *
 * @param ledger - The ledger; changed in place.
 * @param command - The claim.
 * @returns The verdict.
 * @throws Nothing.
 * @example
 * const verdict = beginClaim(ledger, command);
 */
export function beginClaim(
  ledger: ClaimLedger,
  command: ClaimBeginCommand,
): ClaimVerdict {
  evictExpiredClaims(ledger, command.nowMs);
  const key = getClaimKey(command);
  const verdict = decideClaim(ledger.claims.get(key), command);
  if (verdict.verdict !== "granted") return verdict;
  ledger.claims.delete(key);
  ledger.claims.set(key, {
    requestHash: command.requestHash,
    holder: command.holder,
    startedMs: command.nowMs,
  });
  return verdict;
}

/**
 * Looks up a claim without recording anything.
 *
 * @param ledger - The ledger.
 * @param command - The claim to look up.
 * @returns The verdict that {@link beginClaim} would give.
 * @throws Nothing.
 * @example
 * const verdict = peekClaim(ledger, command);
 */
export function peekClaim(
  ledger: ClaimLedger,
  command: Pick<ClaimBeginCommand, "clientAccount" | "key" | "requestHash">,
): ClaimVerdict {
  return decideClaim(ledger.claims.get(getClaimKey(command)), command);
}

/**
 * Records how a claimed request ended. Only its holder may do so, and only once.
 *
 * @param ledger - The ledger; changed in place.
 * @param command - The end.
 * @returns Whether it was recorded.
 * @throws Nothing.
 * @example
 * endClaim(ledger, command);
 */
export function endClaim(
  ledger: ClaimLedger,
  command: ClaimEndCommand,
): boolean {
  const key = getClaimKey(command);
  const claim = ledger.claims.get(key);
  if (!claim || claim.end || claim.holder !== command.holder) return false;
  ledger.claims.set(key, { ...claim, end: command.end });
  return true;
}

function getClaimKey(of: { clientAccount: string; key: string }): string {
  return `${of.clientAccount}\n${of.key}`;
}

function evictExpiredClaims(ledger: ClaimLedger, nowMs: number): void {
  for (const [key, claim] of ledger.claims) {
    if (claim.startedMs > nowMs - ledger.windowMs) return;
    ledger.claims.delete(key);
  }
}
