/**
 * Passes the events of a stream on to its caller, whichever run they come from.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { StreamEvent } from "./split_events.ts";

/** What the relay needs. */
export interface CreateStreamRelayOptions {
  readonly response: ServerResponse;
  /** Event after which the caller wants the stream to go on. */
  readonly lastEventId: string | undefined;
  /** Called with each pause between two events, in ms. */
  readonly onPause: (pauseMs: number) => void;
  readonly onFirstEvent: () => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** How a stream went so far. */
export interface StreamProgress {
  readonly events: number;
  /** Id of the newest event that the caller has. */
  readonly lastEventId: string | undefined;
  /** Time, in ms, of the first event. */
  readonly firstEventMs: number | undefined;
  readonly longestPauseMs: number;
}

/** Passes the events of a stream on to its caller. */
export interface StreamRelay {
  /** Passes an event on; false where the caller must first read. */
  pass(event: StreamEvent): boolean;
  getProgress(): StreamProgress;
  /** Ms since the newest event, or since the last call of `restart`. */
  getSilenceMs(): number;
  /** Usual pause between two events lately, in ms; 0 before there was one. */
  getUsualPauseMs(): number;
  /** Counts the silence anew: something was done about it. */
  restart(): void;
}

/** Weight of the newest pause in the usual one. */
const PAUSE_WEIGHT = 0.2;

/**
 * Makes the relay of one call.
 *
 * @param options - The caller, and what it has already.
 * @returns The relay.
 * @throws Nothing.
 * @example
 * const goesOn = relay.pass(event);
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
  let quietSinceMs = now();

  function notePause(atMs: number): void {
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
    quietSinceMs = atMs;
  }

  function write(bytes: Buffer): boolean {
    events += 1;
    return response.write(bytes);
  }

  return {
    pass({ id, bytes }) {
      notePause(now());
      // A run that goes on may begin with what the caller already has.
      if (id !== undefined && !isAfter(id, lastEventId)) return true;
      if (id !== undefined) lastEventId = id;
      return write(bytes);
    },
    getProgress: () => ({ events, lastEventId, firstEventMs, longestPauseMs }),
    getSilenceMs: () => now() - quietSinceMs,
    getUsualPauseMs: () => usualPauseMs,
    restart() {
      quietSinceMs = now();
    },
  };
}

function isAfter(id: string, last: string | undefined): boolean {
  if (last === undefined || last === "") return true;
  return Number(id) > Number(last);
}
