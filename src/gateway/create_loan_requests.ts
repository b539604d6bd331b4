/**
 * Decides when a gateway that lacks retries asks the leader for a loan at once, rather
 * than with its next regular heartbeat.
 *
 * @module
 */

/** When to ask for a loan. */
export interface LoanRequests {
  /** Records that a retry is missing; true if the leader is to be asked now. */
  noteMissing(): boolean;
  /** Records that the leader lent what was requested. */
  noteGranted(): void;
}

/** Options of {@link createLoanRequests}. */
export interface CreateLoanRequestsOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Shortest interval, in ms, between two requests: some round trips. */
const MIN_INTERVAL_MS = 60;

/** Longest interval, in ms; regular heartbeats carry the request as often. */
const MAX_INTERVAL_MS = 480;

/** Time, in ms, without a missing retry after which the shortest interval applies. */
const RESET_MS = 1_000;

/**
 * Creates the decision. The interval doubles while retries stay missing: streams that
 * have run wait for them until their deadlines, and each request is a message to the
 * leader.
 *
 * @param options - The clock.
 * @returns The decision.
 * @throws Nothing.
 * @example
 * if (loanRequests.noteMissing()) link.beat();
 */
export function createLoanRequests(
  { now }: CreateLoanRequestsOptions,
): LoanRequests {
  let intervalMs = MIN_INTERVAL_MS;
  let missingMs = -Infinity;
  let requestedMs = -Infinity;
  return {
    noteMissing() {
      if (now() - missingMs >= RESET_MS) intervalMs = MIN_INTERVAL_MS;
      missingMs = now();
      if (now() - requestedMs < intervalMs) return false;
      const isFrequent = now() - requestedMs < RESET_MS;
      if (isFrequent) intervalMs = Math.min(MAX_INTERVAL_MS, 2 * intervalMs);
      requestedMs = now();
      return true;
    },
    noteGranted() {
      intervalMs = MIN_INTERVAL_MS;
      requestedMs = -Infinity;
    },
  };
}
