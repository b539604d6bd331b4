/**
 * What a stream that can't be sent on at once waits for, and for how long.
 *
 * @module
 */

import type { RoomWait } from "./create_room_wait.ts";
import type { StreamRelay } from "./create_stream_relay.ts";

/** What the waits need of their call. */
export interface CreateSendWaitsOptions {
  readonly roomWait: Pick<RoomWait, "mayWait">;
  readonly relay: Pick<StreamRelay, "getSilenceMs">;
  /** Whether the caller has the head of an answer. */
  readonly hasBegun: () => boolean;
  /** Called when it is time to look again. */
  readonly onLook: () => void;
  /** Called when it has waited for too long, with what it waited for. */
  readonly onGiveUp: (reason: string) => void;
}

/** The waits of one call. */
export interface SendWaits {
  /** Waits for room on the engines. */
  waitForRoom(): void;
  /** Waits for a path; called back only where it may still come. */
  waitForPath(options: {
    readonly onWait: () => void;
    /** Ms before which there surely is none; 0 by default. */
    readonly leftMs?: number;
  }): void;
  /** Waits for a repeat that may be spent. */
  waitForRepeats(): void;
  /** Notes that it was sent: the next wait for repeats begins anew. */
  noteSent(): void;
}

/** Ms between two looks for room. */
const ROOM_WAIT_MS = 20;

/** Ms between two looks for a repeat that may be spent. */
const REPEATS_WAIT_MS = 20;

/** Ms that a stream waits for repeats to be lent: a few round trips. */
const MAX_REPEATS_WAIT_MS = 120;

/** Ms between two looks for a path while a stream waits to go on. */
const PATH_WAIT_MS = 50;

/** Ms for which a begun stream waits for a path. */
const MAX_PATH_WAIT_MS = 1_500;

/** Ms for which a new request waits for one: a lost range is soon held again. */
const NEW_PATH_WAIT_MS = 1_000;

/**
 * Makes the waits of one call.
 *
 * @param options - The call's room and silence, and who is called.
 * @returns The waits.
 * @throws Nothing.
 * @example
 * const waits = createSendWaits(options);
 */
export function createSendWaits(options: CreateSendWaitsOptions): SendWaits {
  const { onLook, onGiveUp } = options;
  let repeatsWaitedMs = 0;
  return {
    // Only as long as the first event may still come in time.
    waitForRoom() {
      if (!options.roomWait.mayWait()) return onGiveUp("full");
      setTimeout(onLook, ROOM_WAIT_MS);
    },
    waitForPath({ onWait, leftMs = 0 }) {
      const limitMs = options.hasBegun() ? MAX_PATH_WAIT_MS : NEW_PATH_WAIT_MS;
      const silenceMs = options.relay.getSilenceMs();
      if (silenceMs > limitMs) return onGiveUp("no path");
      if (silenceMs + leftMs > limitMs) return onGiveUp("no path in time");
      onWait();
      setTimeout(onLook, PATH_WAIT_MS);
    },
    // The leader is asked to lend; its answer takes a round trip.
    waitForRepeats() {
      if (repeatsWaitedMs >= MAX_REPEATS_WAIT_MS) return onGiveUp("no budget");
      repeatsWaitedMs += REPEATS_WAIT_MS;
      setTimeout(onLook, REPEATS_WAIT_MS);
    },
    noteSent() {
      repeatsWaitedMs = 0;
    },
  };
}
