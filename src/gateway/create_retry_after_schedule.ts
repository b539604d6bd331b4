/**
 * Schedules the retries of callers that were refused for lack of capacity.
 *
 * @module
 */

/** What the schedule needs. */
export interface CreateRetryAfterScheduleOptions {
  /** Mean time, in ms, between the ends of two streams of the fleet. */
  readonly getEndIntervalMs: (service: string) => number;
  /** Shortest wait of a caller, in ms; the wait for a full fleet by default. */
  readonly leastWaitMs?: number;
  /** Number of gateways that admit callers; each assigns its part of the slots. */
  readonly getGatewayCount: () => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** Schedules the retries of refused callers. */
export interface RetryAfterSchedule {
  /**
   * Takes the next slot of a service; returns the time until then, in ms. `rank` is the
   * number of more urgent priorities of the service; 0 by default.
   */
  getWaitMs(service: string, options?: { readonly rank?: number }): number;
  /** Takes the next slot of a service as `getWaitMs` does. */
  takeSlot(service: string, options?: { readonly rank?: number }): RetrySlot;
}

/** When a refused caller may retry. */
export interface RetrySlot {
  /** Time until then, in ms. */
  readonly waitMs: number;
  /**
   * Whether capacity is expected for it. It is not where more callers were refused than
   * can return within the longest wait.
   */
  readonly isReserved: boolean;
}

/** The last slots of a rank. */
interface LastSlot {
  /** Time that a caller was told; at most the longest wait ahead. */
  slotMs: number;
  /** Time for which capacity was reserved. */
  reservedMs: number;
}

/**
 * Share of the capacity freed by ended streams that is reserved for callers that
 * retry; the rest is for new callers.
 */
const RETRY_SHARE = 0.5;

/**
 * Shortest wait of a caller, in ms. Callers retry once: a caller that finds the fleet
 * still full gives up, and the fleet has recovered from most failures after this time.
 * On two days with failures, with a short capacity queue on top, 0.032 and 0.074 of
 * requests stayed refused with 700 ms, 0.018 and 0.047 with 2,500 ms.
 */
const MIN_WAIT_MS = 2_500;

/** Longest wait of a caller, in ms; the state of the fleet has changed by then. */
const MAX_WAIT_MS = 6_000;

/** Addition, in ms, to the wait of each less urgent rank, so that it retries later. */
const RANK_STEP_MS = 1_000;

/** Share of a wait by which it is randomly shortened or extended. */
const JITTER_SHARE = 0.2;

/**
 * Creates the schedule. Slots follow each other at a share of the rate at which
 * streams end, so that callers don't retry all at once. A slot given to one rank delays
 * the next slots of the less urgent ranks too, but not those of more urgent ones:
 * however many less urgent callers are refused, the others are not told to wait longer.
 *
 * @param options - The rate of ends, the clock and the source of randomness.
 * @returns The schedule.
 * @throws Nothing.
 * @example
 * const retries = createRetryAfterSchedule(options);
 */
export function createRetryAfterSchedule(
  options: CreateRetryAfterScheduleOptions,
): RetryAfterSchedule {
  const { now, random, leastWaitMs = MIN_WAIT_MS } = options;
  const lastSlots = new Map<string, LastSlot[]>();

  // Each gateway assigns 1/n of the fleet's slots, so its interval is n times the
  // fleet's.
  function getSlotIntervalMs(service: string): number {
    const fleetIntervalMs = options.getEndIntervalMs(service) / RETRY_SHARE;
    return fleetIntervalMs * options.getGatewayCount();
  }

  function getSlots(service: string, rank: number): LastSlot[] {
    const slots = lastSlots.get(service) ?? [{ slotMs: 0, reservedMs: 0 }];
    lastSlots.set(service, slots);
    while (slots.length <= rank) slots.push({ ...slots[slots.length - 1] });
    return slots;
  }

  function takeSlot(
    service: string,
    { rank = 0 }: { readonly rank?: number } = {},
  ): RetrySlot {
    const slots = getSlots(service, rank);
    const intervalMs = getSlotIntervalMs(service);
    const earliestMs = now() + leastWaitMs;
    const latestMs = now() + MAX_WAIT_MS;
    const isReserved = slots[rank].reservedMs + intervalMs <= latestMs;
    for (const slot of slots.slice(rank)) {
      const nextMs = Math.max(earliestMs, slot.slotMs + intervalMs);
      slot.slotMs = Math.min(latestMs, nextMs);
      if (!isReserved) continue;
      slot.reservedMs = Math.max(earliestMs, slot.reservedMs + intervalMs);
    }
    const slotWaitMs = slots[rank].slotMs - now() + rank * RANK_STEP_MS;
    const jitter = 1 + JITTER_SHARE * (2 * random() - 1);
    const waitMs = Math.round(Math.min(MAX_WAIT_MS, slotWaitMs) * jitter);
    return { waitMs, isReserved };
  }

  return {
    getWaitMs: (service, options) => takeSlot(service, options).waitMs,
    takeSlot,
  };
}
