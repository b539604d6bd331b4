/**
 * Pays for the tries of one call out of the budget of repeats.
 *
 * @module
 */

/** Pays for the tries of one call. */
export interface TryPayment {
  /** Whether the next try is paid for; pays where it has to be. */
  payNext(): boolean;
  /** Notes how the try ended that was paid for last. */
  noteEnd(end: {
    /** Whether anything of it had left for the upstream. */
    readonly wasSent: boolean;
  }): void;
}

/**
 * Makes the payment of one call. The first try that is sent costs nothing, each
 * further one a repeat. One whose connection was refused has reached no upstream,
 * so what was paid for it pays for the next: with nine engines of 40 crashed, gateways
 * met 37 refused connections in four seconds, and 70 streams were given up for want
 * of repeats, some of which had bought nothing (by the log lines of one day).
 *
 * @param spend - Spends a repeat; false where none is left.
 * @returns The payment.
 * @throws Nothing.
 * @example
 * const payment = createTryPayment(() => budget.spend(service));
 */
export function createTryPayment(spend: () => boolean): TryPayment {
  // The first try is free.
  let isPaid = true;
  return {
    payNext() {
      isPaid ||= spend();
      return isPaid;
    },
    noteEnd({ wasSent }) {
      if (wasSent) isPaid = false;
    },
  };
}
