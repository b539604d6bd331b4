/**
 * Decides how long a new stream waits for room.
 *
 * @module
 */

import type { RoomTurn } from "./create_room_queue.ts";
import type { Call, ServingContext } from "./types.ts";

/** A new stream's wait for room. */
export interface RoomWait {
  /** Whether nobody else waits before it. */
  isFirst(): boolean;
  /** Whether it goes on waiting; it then has its place in the queue. */
  mayWait(): boolean;
  /** Gives its place up. */
  end(): void;
}

/**
 * Share of the time to the first event for which a new stream waits for room:
 * the rest is for reading its prompt.
 */
const WAIT_SHARE = 0.6;

/**
 * Makes the wait of one call. It ends as soon as the first event is no longer
 * expected in time: who can't be served is told so at once.
 *
 * @param call - The call.
 * @param context - The queue and the time.
 * @returns The wait.
 * @throws Nothing.
 * @example
 * const roomWait = createRoomWait(call, context);
 */
export function createRoomWait(
  call: Call,
  context: Pick<ServingContext, "getRoomQueue" | "now">,
): RoomWait {
  const { now } = context;
  const roomQueue = context.getRoomQueue(call.service);
  const bearableMs = call.route.objectiveMs * WAIT_SHARE;
  let turn: RoomTurn | undefined;
  return {
    isFirst: () => turn ? turn.isFirst() : roomQueue.isEmpty(),
    mayWait() {
      const waitedMs = now() - call.startedMs;
      const expectedMs = (turn ?? roomQueue).estimateWaitMs();
      if (waitedMs + expectedMs > bearableMs) return false;
      turn ??= roomQueue.join();
      return true;
    },
    end() {
      turn?.leave();
      turn = undefined;
    },
  };
}
