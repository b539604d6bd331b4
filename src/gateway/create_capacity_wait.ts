/**
 * Decides how long a new stream waits for free capacity.
 *
 * @module
 */

import type { QueueTicket } from "./create_capacity_queue.ts";
import type { Call, ServingContext } from "./types.ts";

/** The wait of a new stream for free capacity. */
export interface CapacityWait {
  /** Whether no other stream waits before it. */
  isFirst(): boolean;
  /** Whether it may wait on; if so, it has joined the queue. */
  mayWait(): boolean;
  /** Leaves the queue. */
  end(): void;
}

/**
 * Share of the time-to-first-event objective for which a new stream waits for
 * capacity; the rest is for the prefill of its prompt.
 */
const MAX_WAIT_SHARE = 0.6;

/**
 * Creates the wait of one call. It ends as soon as the first event is no longer
 * expected in time, so that calls that can't be served fail fast.
 *
 * @param call - The call.
 * @param context - The queue and the clock.
 * @returns The wait.
 * @throws Nothing.
 * @example
 * const capacityWait = createCapacityWait(call, context);
 */
export function createCapacityWait(
  call: Call,
  context: Pick<ServingContext, "getCapacityQueue" | "now">,
): CapacityWait {
  const { now } = context;
  const queue = context.getCapacityQueue(call.service);
  const maxWaitMs = call.route.objectiveMs * MAX_WAIT_SHARE;
  let ticket: QueueTicket | undefined;
  return {
    isFirst: () => ticket ? ticket.isFirst() : queue.isEmpty(),
    mayWait() {
      const waitedMs = now() - call.startedMs;
      const expectedMs = (ticket ?? queue).estimateWaitMs();
      if (waitedMs + expectedMs > maxWaitMs) return false;
      ticket ??= queue.join();
      return true;
    },
    end() {
      ticket?.leave();
      ticket = undefined;
    },
  };
}
