/**
 * Splits the bytes of an event stream into complete events.
 *
 * @module
 */

import { Buffer } from "node:buffer";

/** The unchanged bytes of a complete event, with its id. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no id. */
  readonly id: string | undefined;
}

/** Splits a byte stream into events. */
export interface EventSplitter {
  /** Adds a chunk of bytes, and returns the events that are complete now. */
  push(chunk: Buffer): StreamEvent[];
  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Creates a splitter. An event ends with an empty line.
 *
 * @returns The splitter.
 * @throws Nothing.
 * @example
 * const events = createEventSplitter().push(chunk);
 */
export function createEventSplitter(): EventSplitter {
  let partialEvent: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes = partialEvent.length === 0
        ? chunk
        : Buffer.concat([partialEvent, chunk]);
      const events: StreamEvent[] = [];
      let start = 0;
      let lineStart = 0;
      for (let index = 0; index < bytes.length; index++) {
        if (bytes[index] !== LINE_FEED) continue;
        const isEmpty = index === lineStart ||
          (index === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
        lineStart = index + 1;
        if (!isEmpty) continue;
        events.push(readEvent(bytes.subarray(start, index + 1)));
        start = index + 1;
      }
      partialEvent = bytes.subarray(start);
      return events;
    },
    hasPartialEvent: () => partialEvent.length > 0,
  };
}

function readEvent(bytes: Buffer): StreamEvent {
  const match = /^id:[ ]?(.*?)\r?$/m.exec(bytes.toString("utf8"));
  return { bytes, id: match?.[1] };
}
