/**
 * The claim ledger: who may run a request that must not run twice.
 *
 * The ledger is the one state machine that is changed in place: it holds
 * hundreds of thousands of claims, and a copy for each claim would cost more
 * than the claim. Its owner is the apply loop alone; what a claim may do is
 * decided by the pure {@link decideClaim}.
 *
 * @module
 */

import { type ClaimVerdict, decideClaim } from "./decide_claim.ts";
import type { Claim, ClaimBeginCommand, ClaimEndCommand } from "./types.ts";

/** All claims within the window, the oldest first. */
export interface ClaimLedger {
  readonly claims: Map<string, Claim>;
  readonly windowMs: number;
}

/**
 * Makes an empty ledger.
 *
 * @param options - For how long a claim is remembered, in ms.
 * @returns The ledger.
 * @throws Nothing.
 * @example
 * const ledger = createClaimLedger({ windowMs: 900_000 });
 */
export function createClaimLedger(options: { windowMs: number }): ClaimLedger {
  return { claims: new Map(), windowMs: options.windowMs };
}

/**
 * Records a claim, or says what became of the one that stands.
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
  forgetOldClaims(ledger, command.nowMs);
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
 * Looks a claim up without recording anything.
 *
 * @param ledger - The ledger.
 * @param command - The claim that would be asked for.
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
 * Records how a claimed request ended; only its holder may.
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

function forgetOldClaims(ledger: ClaimLedger, nowMs: number): void {
  for (const [key, claim] of ledger.claims) {
    if (claim.startedMs > nowMs - ledger.windowMs) return;
    ledger.claims.delete(key);
  }
}
