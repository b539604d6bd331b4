/**
 * What a stream that can't be sent at once waits for, and for how long.
 *
 * @module
 */

import type { CapacityWait } from "./create_capacity_wait.ts";
import type { StreamRelay } from "./create_stream_relay.ts";

/** What the waits need to know of their call. */
export interface CreateSendWaitsOptions {
  readonly capacityWait: Pick<CapacityWait, "mayWait">;
  readonly relay: Pick<StreamRelay, "getSilenceMs">;
  /** Whether the caller has received the head of a response. */
  readonly hasBegun: () => boolean;
  /** Called when it is time to check again. */
  readonly onCheck: () => void;
  /** Called when the stream has waited for too long, with what it waited for. */
  readonly onGiveUp: (reason: string) => void;
}

/** The waits of one call. */
export interface SendWaits {
  /** Waits for free capacity on the engines. */
  waitForCapacity(): void;
  /** Waits for a path; `onWait` is called only where one may still become available. */
  waitForPath(options: {
    readonly onWait: () => void;
    /** Ms during which there certainly is no path; 0 by default. */
    readonly leftMs?: number;
  }): void;
  /** Waits for a retry that the budget allows. */
  waitForRetryBudget(): void;
  /**
   * Records that the stream was sent: the next wait for the retry budget starts at 0.
   */
  noteSent(): void;
}

/** Ms between two checks for free capacity. */
const CAPACITY_POLL_MS = 20;

/** Ms between two checks of the retry budget. */
const BUDGET_POLL_MS = 20;

/** Ms that a stream waits for retry budget lent by the leader: a few round trips. */
const MAX_BUDGET_WAIT_MS = 120;

/** Ms between two checks for a path while a stream waits to be resumed. */
const PATH_POLL_MS = 50;

/** Ms without an event for which a stream that has started waits for a path. */
const MAX_PATH_WAIT_MS = 1_500;

/**
 * Ms for which a new request waits for a path: a lost layer range is soon held by
 * another engine.
 */
const MAX_NEW_PATH_WAIT_MS = 1_000;

/**
 * Creates the waits of one call.
 *
 * @param options - The call's state, and the callbacks.
 * @returns The waits.
 * @throws Nothing.
 * @example
 * const waits = createSendWaits(options);
 */
export function createSendWaits(options: CreateSendWaitsOptions): SendWaits {
  const { onCheck: onCheck, onGiveUp } = options;
  let budgetWaitedMs = 0;
  return {
    // Waits only as long as the first event can still arrive in time.
    waitForCapacity() {
      if (!options.capacityWait.mayWait()) return onGiveUp("full");
      setTimeout(onCheck, CAPACITY_POLL_MS);
    },
    waitForPath({ onWait, leftMs = 0 }) {
      const limitMs = options.hasBegun()
        ? MAX_PATH_WAIT_MS
        : MAX_NEW_PATH_WAIT_MS;
      const silenceMs = options.relay.getSilenceMs();
      if (silenceMs > limitMs) return onGiveUp("no path");
      if (silenceMs + leftMs > limitMs) return onGiveUp("no path in time");
      onWait();
      setTimeout(onCheck, PATH_POLL_MS);
    },
    // The leader is asked to lend budget; its response takes a round trip.
    waitForRetryBudget() {
      if (budgetWaitedMs >= MAX_BUDGET_WAIT_MS) return onGiveUp("no budget");
      budgetWaitedMs += BUDGET_POLL_MS;
      setTimeout(onCheck, BUDGET_POLL_MS);
    },
    noteSent() {
      budgetWaitedMs = 0;
    },
  };
}
