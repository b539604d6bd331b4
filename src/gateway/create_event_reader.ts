/**
 * Reads the events of one run of a stream.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { isLaterEvent } from "./is_later_event.ts";
import { createEventSplitter, type StreamEvent } from "./split_events.ts";

/** Options of {@link createEventReader}. */
export interface CreateEventReaderOptions {
  /** Called with each event that is ignored by callers, or is later than all before. */
  readonly onEvent: (event: StreamEvent) => void;
  /** Called with the size of each event that is progress of the run. */
  readonly noteProgress: (usefulBytes: number) => void;
}

/** Reads the events of a run. */
export interface EventReader {
  push(chunk: Buffer): void;
  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean;
}

/**
 * Creates a reader. Events that repeat earlier ones of the run are dropped.
 *
 * @param options - Callbacks for events and progress.
 * @returns The reader.
 * @throws Nothing.
 * @example
 * const reader = createEventReader({ onEvent, noteProgress });
 */
export function createEventReader(
  { onEvent, noteProgress }: CreateEventReaderOptions,
): EventReader {
  const splitter = createEventSplitter();
  let lastId: string | undefined;

  function handleEvent(event: StreamEvent): void {
    if (!event.isIgnored) {
      if (!isLaterEvent(event.id, lastId)) return;
      lastId = event.id ?? lastId;
      noteProgress(event.bytes.length);
    }
    onEvent(event);
  }

  return {
    push: (chunk) => splitter.push(chunk).forEach(handleEvent),
    hasPartialEvent: splitter.hasPartialEvent,
  };
}
