/**
 * What a stream that can't be sent at once waits for, and for how long.
 *
 * @module
 */

import type { CapacityWait } from "./create_capacity_wait.ts";
import type { ResumeQueue, ResumeTicket } from "./create_resume_queue.ts";
import type { StreamRelay } from "./create_stream_relay.ts";

/** What the waits need to know of their call. */
export interface CreateSendWaitsOptions {
  readonly capacityWait: Pick<CapacityWait, "mayWait">;
  readonly relay: Pick<StreamRelay, "getSilenceMs">;
  /** Where streams that have run wait. */
  readonly resumeQueue: Pick<ResumeQueue, "join">;
  /**
   * Whether an upstream may have run the request, so that nothing but its answer or an
   * unknown outcome can be returned.
   */
  readonly hasRun: () => boolean;
  /** Time, in ms, by which the call has to have ended. */
  readonly deadlineMs: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Resolves once a retry is lent; to false if none is left. */
  readonly waitForRetry: () => Promise<boolean>;
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
    /** Whether only the link between data centres keeps it from being sent. */
    readonly isLinkDenied?: boolean;
  }): void;
  /** Waits for a retry that the budget allows. */
  waitForRetryBudget(): void;
  /** Waits before a send beyond the usual number of sends. */
  waitForExtraSend(): void;
  /**
   * Records that the stream was sent: the next wait for the retry budget starts at 0.
   */
  noteSent(): void;
  /** Ends all waits: the call has ended. */
  end(): void;
}

/** Ms between two checks for free capacity. */
const CAPACITY_POLL_MS = 20;

/** Ms between two checks for a path while a new request waits for one. */
const PATH_POLL_MS = 50;

/**
 * Ms for which a new request waits for a path: a lost layer range is soon held by
 * another engine.
 */
const MAX_NEW_PATH_WAIT_MS = 1_000;

/**
 * Ms before each send beyond the usual number: engines that rejected a request as full
 * count as full for 200 ms.
 */
const EXTRA_SEND_DELAY_MS = 500;

/**
 * Creates the waits of one call. A new request that can't be sent is soon refused, which
 * is true and lets its caller retry. One that has run waits until its deadline: ending
 * it sooner would lose what its caller has received, and say nothing but that the
 * outcome is unknown. The streams that wait are no more than ran here, and share the
 * searches for a path.
 *
 * @param options - The call's state, and the callbacks.
 * @returns The waits.
 * @throws Nothing.
 * @example
 * const waits = createSendWaits(options);
 */
export function createSendWaits(options: CreateSendWaitsOptions): SendWaits {
  const { onCheck, onGiveUp, hasRun, now, deadlineMs } = options;
  let hasWaitedForRetry = false;
  let hasEnded = false;
  let ticket: ResumeTicket | undefined;

  function waitForTurn(isLinkDenied = false): void {
    ticket ??= options.resumeQueue.join();
    ticket.wait({ onTurn: onCheck, isLinkDenied });
  }

  function leaveQueue(): void {
    ticket?.leave();
    ticket = undefined;
  }

  function waitWithoutBudget(): void {
    if (!hasRun()) return onGiveUp("no budget");
    waitForTurn();
  }

  return {
    // Waits only as long as the first event can still arrive in time.
    waitForCapacity() {
      if (!options.capacityWait.mayWait()) return onGiveUp("full");
      setTimeout(onCheck, CAPACITY_POLL_MS);
    },
    waitForPath({ onWait, leftMs = 0, isLinkDenied }) {
      if (hasRun()) {
        const isTooLate = leftMs > 0 && now() + leftMs >= deadlineMs;
        if (isTooLate) return onGiveUp("no path in time");
        onWait();
        return waitForTurn(isLinkDenied);
      }
      const silenceMs = options.relay.getSilenceMs();
      if (silenceMs > MAX_NEW_PATH_WAIT_MS) return onGiveUp("no path");
      if (silenceMs + leftMs > MAX_NEW_PATH_WAIT_MS) {
        return onGiveUp("no path in time");
      }
      onWait();
      setTimeout(onCheck, PATH_POLL_MS);
    },
    // The leader is asked to lend a retry; its answer takes a round trip.
    waitForRetryBudget() {
      if (hasWaitedForRetry) return waitWithoutBudget();
      hasWaitedForRetry = true;
      void options.waitForRetry().then((isLent) => {
        if (hasEnded) return;
        if (!isLent) return waitWithoutBudget();
        hasWaitedForRetry = false;
        onCheck();
      });
    },
    waitForExtraSend() {
      if (!hasRun()) return onGiveUp("too many tries");
      setTimeout(onCheck, EXTRA_SEND_DELAY_MS);
    },
    noteSent() {
      hasWaitedForRetry = false;
      leaveQueue();
    },
    end() {
      hasEnded = true;
      leaveQueue();
    },
  };
}
