/**
 * Decides how long a new stream waits for free capacity.
 *
 * @module
 */

import type { QueuedRequest, QueueTicket } from "./create_capacity_queue.ts";
import type { Call, ServingContext } from "./types.ts";

/** The wait of a new stream for free capacity. */
export interface CapacityWait {
  /** Whether no other stream waits before it. */
  isFirst(): boolean;
  /** Whether it may wait on; if so, it has joined the queue. */
  mayWait(): boolean;
  /** Leaves the queue because the stream is sent to an upstream. */
  admit(): void;
  /** Leaves the queue. */
  end(): void;
  /** Returns log fields: why it waits for as long as it does. */
  describe(): Readonly<Record<string, unknown>>;
}

/** Options of {@link createCapacityWait}. */
export interface CreateCapacityWaitOptions {
  /**
   * Whether the call competes as if it were of the most urgent rank, so that no rank
   * starves; false by default.
   */
  readonly isExempt?: boolean;
}

/**
 * Share of the time-to-first-event objective for which a new stream waits for
 * capacity; the rest is for the prefill of its prompt.
 */
const MAX_WAIT_SHARE = 0.6;

/**
 * Creates the wait of one call. It ends as soon as the first event is no longer
 * expected in time, so that calls that can't be served fail fast. This also bounds the
 * wait of a call that more urgent ones overtake: it ends after 0.6 of the objective at
 * the latest.
 *
 * @param call - The call.
 * @param context - The queue, the refused requests, the configuration and the clock.
 * @param options - Whether the call is exempt from the order of ranks.
 * @returns The wait.
 * @throws Nothing.
 * @example
 * const capacityWait = createCapacityWait(call, context);
 */
export function createCapacityWait(
  call: Call,
  context: Pick<
    ServingContext,
    "getCapacityQueue" | "returnLog" | "getTable" | "now"
  >,
  options: CreateCapacityWaitOptions = {},
): CapacityWait {
  const { now } = context;
  const queue = context.getCapacityQueue(call.service);
  const request = describeRequest(call, context, options);
  const maxWaitMs = call.route.objectiveMs * MAX_WAIT_SHARE;
  let ticket: QueueTicket | undefined;
  let isAdmitted = !isNewStream(call);

  const estimateWaitMs = () =>
    ticket ? ticket.estimateWaitMs() : queue.estimateWaitMs(request);

  function end(): void {
    ticket?.leave();
    ticket = undefined;
  }

  return {
    isFirst: () => ticket ? ticket.isFirst() : queue.isFirst(request),
    mayWait() {
      const waitedMs = now() - call.startedMs;
      if (waitedMs + estimateWaitMs() > maxWaitMs) return false;
      ticket ??= queue.join(request);
      return true;
    },
    // A call that is sent again still counts as one admission.
    admit() {
      end();
      if (isAdmitted) return;
      isAdmitted = true;
      queue.noteAdmitted(request);
      context.returnLog.noteAdmitted(call.requestKey);
    },
    end,
    describe: () => ({
      rank: call.rank,
      isReturn: request.isReturn,
      ahead: ticket ? ticket.countAhead() : queue.countAhead(request),
      waitedMs: Math.round(now() - call.startedMs),
      expectedWaitMs: Math.round(estimateWaitMs()),
    }),
  };
}

function isNewStream({ request }: Pick<Call, "request">): boolean {
  return request.lastEventId === undefined;
}

// With one priority and no client accounts, streams are admitted in the order of
// arrival, also those that return.
function describeRequest(
  call: Call,
  context: Pick<ServingContext, "returnLog" | "getTable">,
  { isExempt = false }: CreateCapacityWaitOptions,
): QueuedRequest {
  const { account } = call;
  const rank = isExempt ? 0 : call.rank;
  const isOrdered = call.rankCount > 1 ||
    context.getTable()?.needsKeys === true;
  const isReturn = isOrdered && isNewStream(call) &&
    context.returnLog.takeReturn(call.requestKey);
  return { rank, isReturn, clientAccount: account?.name ?? "" };
}
