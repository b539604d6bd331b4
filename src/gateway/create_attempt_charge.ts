/**
 * Charges the attempts of a call to the retry budget.
 *
 * @module
 */

import type { RetryPayer } from "./create_gateway_retry_budget.ts";

/** What paid for an attempt: the first is free, and an unused charge is kept. */
export type AttemptPayer = "first" | "kept" | RetryPayer;

/** Charges the attempts of one call. */
export interface AttemptCharge {
  /** Charges the next attempt if needed; false if the budget is exhausted. */
  chargeNext(): boolean;
  /**
   * Charges the attempt after the one in progress, so that this one is given up only
   * for one that is paid for; false if the budget is exhausted.
   */
  chargeAhead(): boolean;
  /** What paid for the attempt charged last. */
  getPayer(): AttemptPayer;
  /** Whether an upstream may have received one of the attempts. */
  wasAnySent(): boolean;
  /** Records how the last charged attempt ended. */
  noteEnd(end: {
    /** Whether any of its bytes were sent to the upstream. */
    readonly wasSent: boolean;
  }): void;
}

/**
 * Creates the charge of one call. The first attempt that is sent is free, each further
 * one costs a retry. An attempt whose connection was refused has reached no upstream,
 * so its charge carries over to the next one: with 9 of 40 engines crashed, gateways
 * saw 37 refused connections in four seconds, and 70 streams failed for lack of
 * retries, some of which had been spent on those connections.
 *
 * @param spend - Spends a retry; undefined if none is left.
 * @returns The charge.
 * @throws Nothing.
 * @example
 * const charge = createAttemptCharge(() => budget.spend(service));
 */
export function createAttemptCharge(
  spend: () => RetryPayer | undefined,
): AttemptCharge {
  let payer: AttemptPayer | undefined = "first";
  let payerAhead: AttemptPayer | undefined;
  let wasAnySent = false;

  function takePayer(): AttemptPayer | undefined {
    const taken = payerAhead ?? spend();
    payerAhead = undefined;
    return taken;
  }

  return {
    chargeNext() {
      payer ??= takePayer();
      return payer !== undefined;
    },
    chargeAhead() {
      payerAhead ??= spend();
      return payerAhead !== undefined;
    },
    getPayer: () => payer ?? "kept",
    wasAnySent: () => wasAnySent,
    noteEnd({ wasSent }) {
      wasAnySent ||= wasSent;
      payer = wasSent ? undefined : "kept";
    },
  };
}
