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

/** When the caller of a refused request may return. */
export interface NoteRefusedOptions {
  readonly retryAfterMs: number;
  /**
   * Whether capacity is reserved for its return. Others are treated as new requests:
   * where all returns went first, they took all capacity of a service at twice the load
   * that fits, and 0.02 of requests were served at their first attempt in place of 0.30.
   */
  readonly isReserved: boolean;
}

/** Requests that were refused recently. */
export interface ReturnLog {
  /** Records that a request was refused; an earlier refusal of it no longer counts. */
  noteRefused(requestKey: string, options: NoteRefusedOptions): void;
  /**
   * Returns whether a request returns for its reserved capacity, no sooner than its
   * caller was told to. Each refusal counts for one return.
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
    noteRefused(requestKey, { retryAfterMs, isReserved }) {
      refusals.delete(requestKey);
      if (!isReserved) return;
      const refusedMs = now();
      const fromMs = refusedMs + retryAfterMs * (1 - EARLY_SHARE);
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
