/**
 * Cuts a stream of events into whole events.
 *
 * @module
 */

import { Buffer } from "node:buffer";

/** A whole event as it came, with its id. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined where the event has none. */
  readonly id: string | undefined;
}

/** Cuts a stream into events. */
export interface EventSplitter {
  /** Takes bytes; returns the events that are whole now. */
  take(chunk: Buffer): StreamEvent[];
  /** Whether the last event is still cut in two. */
  hasRest(): boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Makes a splitter; an event ends with an empty line.
 *
 * @returns The splitter.
 * @throws Nothing.
 * @example
 * const events = createEventSplitter().take(chunk);
 */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    take(chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const events: StreamEvent[] = [];
      let start = 0;
      let lineStart = 0;
      for (let at = 0; at < bytes.length; at++) {
        if (bytes[at] !== LINE_FEED) continue;
        const isEmpty = at === lineStart ||
          (at === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
        lineStart = at + 1;
        if (!isEmpty) continue;
        events.push(readEvent(bytes.subarray(start, at + 1)));
        start = at + 1;
      }
      rest = bytes.subarray(start);
      return events;
    },
    hasRest: () => rest.length > 0,
  };
}

function readEvent(bytes: Buffer): StreamEvent {
  const match = /^id:[ ]?(.*?)\r?$/m.exec(bytes.toString("utf8"));
  return { bytes, id: match?.[1] };
}
