/**
 * Splits the bytes of an event stream into complete events.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createChunkList } from "./create_chunk_list.ts";

/** The unchanged bytes of a complete event, with its id. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no id. */
  readonly id: string | undefined;
  /** Whether callers ignore it: it has neither data nor an id. */
  readonly isIgnored: boolean;
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
const COLON = 0x3a;

/**
 * Creates a splitter. An event ends with an empty line. Ignored events that follow one
 * another in a chunk are returned as one.
 *
 * @returns The splitter.
 * @throws Nothing.
 * @example
 * const events = createEventSplitter().push(chunk);
 */
export function createEventSplitter(): EventSplitter {
  // Chunks of the incomplete event, none of which contains its end.
  const partial = createChunkList();
  let isLineEmpty = true;
  let isLineComment = false;
  let isComment = true;

  // A line that has only a carriage return counts as empty.
  function noteByte(byte: number): boolean {
    if (byte !== LINE_FEED) {
      if (isLineEmpty && byte !== CARRIAGE_RETURN) {
        isLineEmpty = false;
        isLineComment = byte === COLON;
        isComment &&= isLineComment;
      }
      return false;
    }
    const isEnd = isLineEmpty;
    isLineEmpty = true;
    return isEnd;
  }

  function takeEvent(chunk: Buffer): StreamEvent {
    const bytes = partial.isEmpty()
      ? chunk
      : Buffer.concat([partial.take(), chunk]);
    const event = isComment
      ? { bytes, id: undefined, isIgnored: true }
      : readEvent(bytes);
    isComment = true;
    return event;
  }

  return {
    push(chunk) {
      const events: StreamEvent[] = [];
      let start = 0;
      for (let index = 0; index < chunk.length; index++) {
        if (!noteByte(chunk[index])) continue;
        events.push(takeEvent(chunk.subarray(start, index + 1)));
        start = index + 1;
      }
      if (start < chunk.length) partial.push(chunk.subarray(start));
      return joinIgnored(events);
    },
    hasPartialEvent: () => !partial.isEmpty(),
  };
}

// Each event is written to the caller by itself, and ignored ones may be many.
function joinIgnored(events: readonly StreamEvent[]): StreamEvent[] {
  const joined: StreamEvent[] = [];
  let ignored: Buffer[] = [];
  const flush = () => {
    if (ignored.length === 0) return;
    const bytes = Buffer.concat(ignored);
    joined.push({ bytes, id: undefined, isIgnored: true });
    ignored = [];
  };
  for (const event of events) {
    if (event.isIgnored) ignored.push(event.bytes);
    else {
      flush();
      joined.push(event);
    }
  }
  flush();
  return joined;
}

function readEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString("utf8");
  const match = /^id:[ ]?(.*?)\r?$/m.exec(text);
  const hasData = /^data(?::|\r?$)/m.test(text);
  return { bytes, id: match?.[1], isIgnored: !match && !hasData };
}
