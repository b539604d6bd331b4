/**
 * Requests that were refused recently, so that they are recognised when they return.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";

/** What the log depends on. */
export interface CreateReturnLogOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Requests that were refused recently. */
export interface ReturnLog {
  /** Records that a request was refused; an earlier refusal of it no longer counts. */
  noteRefused(
    requestKey: string,
    options: { readonly retryAfterMs: number },
  ): void;
  /**
   * Returns whether a request returns after a refusal, no sooner than its caller was
   * told to. Each refusal counts for one return.
   */
  takeReturn(requestKey: string): boolean;
  /** Records that a request was admitted: its refusal no longer counts. */
  noteAdmitted(requestKey: string): void;
}

/**
 * Share of the `Retry-After` by which a return may be early: the clocks of callers run
 * at slightly different rates, and their timers may fire early.
 */
const EARLY_SHARE = 0.1;

/**
 * Time, in ms, for which a refusal is kept. The longest `Retry-After` is 7.2 s (6 s and
 * a fifth of jitter).
 */
const MAX_AGE_MS = 10_000;

/** Maximum number of refused requests; the oldest are evicted. */
const MAX_KEYS = 2_000;

/**
 * Creates an empty log. A caller gains nothing by an early return: it is then treated
 * as a new request, and if it is refused again, only its new `Retry-After` counts.
 *
 * @param options - The clock.
 * @returns The log.
 * @throws Nothing.
 * @example
 * const returnLog = createReturnLog({ now });
 */
export function createReturnLog(options: CreateReturnLogOptions): ReturnLog {
  const { now } = options;
  const refusals = new Map<string, { refusedMs: number; fromMs: number }>();

  // Keys are in the order of their refusal.
  function evictExpired(): void {
    for (const [requestKey, { refusedMs }] of refusals) {
      if (now() - refusedMs < MAX_AGE_MS) return;
      refusals.delete(requestKey);
    }
  }

  return {
    noteRefused(requestKey, { retryAfterMs }) {
      const refusedMs = now();
      const fromMs = refusedMs + retryAfterMs * (1 - EARLY_SHARE);
      refusals.delete(requestKey);
      refusals.set(requestKey, { refusedMs, fromMs });
      evictExpired();
      evictOldest(refusals, MAX_KEYS);
    },
    takeReturn(requestKey) {
      evictExpired();
      const refusal = refusals.get(requestKey);
      if (!refusal || now() < refusal.fromMs) return false;
      refusals.delete(requestKey);
      return true;
    },
    noteAdmitted(requestKey) {
      refusals.delete(requestKey);
    },
  };
}
