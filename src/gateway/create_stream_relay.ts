/**
 * Forwards the events of a stream to its caller, whichever run they come from.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { isLaterEvent } from "./is_later_event.ts";
import type { StreamEvent } from "./split_events.ts";

/** Options of {@link createStreamRelay}. */
export interface CreateStreamRelayOptions {
  readonly response: ServerResponse;
  /** Id of the event after which the caller resumes the stream. */
  readonly lastEventId: string | undefined;
  /** Called with each pause between two events, in ms. */
  readonly onPause: (pauseMs: number) => void;
  readonly onFirstEvent: () => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Progress of a stream. */
export interface StreamProgress {
  readonly events: number;
  /** Id of the newest event sent to the caller. */
  readonly lastEventId: string | undefined;
  /** Time, in ms, at which the first event arrived. */
  readonly firstEventMs: number | undefined;
  readonly longestPauseMs: number;
}

/** Forwards the events of a stream to its caller. */
export interface StreamRelay {
  /** Forwards an event. Returns false if the caller's buffer is full (backpressure). */
  forward(event: StreamEvent): boolean;
  /** Whether the caller does not have an event yet. */
  isNew(event: Pick<StreamEvent, "id">): boolean;
  getProgress(): StreamProgress;
  /** Ms since the newest event, or since the last call of `restartSilence`. */
  getSilenceMs(): number;
  /** Moving average of the pauses between events, in ms; 0 before the first pause. */
  getUsualPauseMs(): number;
  /** Restarts the measurement of silence, after an attempt to recover the stream. */
  restartSilence(): void;
}

/** Weight of the newest pause in the moving average. */
const PAUSE_WEIGHT = 0.2;

/**
 * Creates the relay of one call.
 *
 * @param options - The caller's response, and the last event that it has.
 * @returns The relay.
 * @throws Nothing.
 * @example
 * const hasCapacity = relay.forward(event);
 */
export function createStreamRelay(
  options: CreateStreamRelayOptions,
): StreamRelay {
  const { response, now } = options;
  let { lastEventId } = options;
  let events = 0;
  let firstEventMs: number | undefined;
  let lastEventMs = 0;
  let longestPauseMs = 0;
  let usualPauseMs = 0;
  let silentSinceMs = now();

  function recordEvent(atMs: number): void {
    if (firstEventMs === undefined) {
      firstEventMs = atMs;
      options.onFirstEvent();
    } else {
      const pauseMs = atMs - lastEventMs;
      longestPauseMs = Math.max(longestPauseMs, pauseMs);
      usualPauseMs = usualPauseMs === 0
        ? pauseMs
        : usualPauseMs + PAUSE_WEIGHT * (pauseMs - usualPauseMs);
      options.onPause(pauseMs);
    }
    lastEventMs = atMs;
    silentSinceMs = atMs;
  }

  function isNew({ id }: Pick<StreamEvent, "id">): boolean {
    return isLaterEvent(id, lastEventId);
  }

  function write(bytes: Buffer): boolean {
    events += 1;
    return response.write(bytes);
  }

  return {
    isNew,
    forward({ id, bytes, isIgnored }) {
      if (isIgnored) return response.write(bytes);
      recordEvent(now());
      // A resumed run may start with events that the caller already has.
      if (!isNew({ id })) return true;
      if (id !== undefined) lastEventId = id;
      return write(bytes);
    },
    getProgress: () => ({ events, lastEventId, firstEventMs, longestPauseMs }),
    getSilenceMs: () => now() - silentSinceMs,
    getUsualPauseMs: () => usualPauseMs,
    restartSilence() {
      silentSinceMs = now();
    },
  };
}
