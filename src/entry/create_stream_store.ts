/**
 * Streams of answers that a caller may come back to.
 *
 * Each stream keeps its events until a while after its end; a reader gets
 * them from any place on and then as they come.
 *
 * @module
 */

import { forgetOldest } from "../collections/index.ts";

/** An event of a stream: its number counts from 1. */
export interface StreamEvent {
  readonly id: number;
  /** Name of the event; empty for a token. */
  readonly name: string;
  readonly data: string;
}

/** A stream of answers. */
export interface AnswerStream {
  readonly requestId: string;
  /** The client account that may read it. */
  readonly clientAccount: string;
  push(event: Omit<StreamEvent, "id">): void;
  end(): void;
  hasEvents(): boolean;
  /** Resolves with the first event. */
  readonly begun: Promise<void>;
  /**
   * Events after `lastId`, then those that come; ends with the stream, or
   * when the reader's signal is aborted.
   */
  read(lastId: number, signal: AbortSignal): AsyncGenerator<StreamEvent>;
  /** Aborted when nobody has read for the grace time. */
  readonly signal: AbortSignal;
}

/** The streams of this entry. */
export interface StreamStore {
  open(of: { requestId: string; clientAccount: string }): AnswerStream;
  find(requestId: string): AnswerStream | undefined;
}

/** Options of {@link createStreamStore}. */
export interface CreateStreamStoreOptions {
  /** Time, in ms, for which a stream is kept after its end. */
  readonly keepMs?: number;
  /** Time, in ms, for which a stream without a reader goes on. */
  readonly graceMs?: number;
}

/** Time, in ms, for which a stream is kept after its end. */
export const DEFAULT_KEEP_MS = 60_000;

/** Time, in ms, for which a stream without a reader goes on. */
export const DEFAULT_GRACE_MS = 5_000;

/** Streams that are kept; the oldest that has ended goes first. */
const MAX_STREAMS = 4_096;

/**
 * Makes the store of streams.
 *
 * @param options - For how long streams are kept.
 * @returns The store, empty.
 * @throws Nothing.
 * @example
 * const streams = createStreamStore();
 */
export function createStreamStore(
  options: CreateStreamStoreOptions = {},
): StreamStore {
  const { keepMs = DEFAULT_KEEP_MS, graceMs = DEFAULT_GRACE_MS } = options;
  const streams = new Map<string, AnswerStream>();

  function open(
    of: { requestId: string; clientAccount: string },
  ): AnswerStream {
    const { requestId, clientAccount } = of;
    const events: StreamEvent[] = [];
    const abort = new AbortController();
    let ended = false;
    let readers = 0;
    let wake: (() => void)[] = [];
    let grace: NodeJS.Timeout | undefined;

    function notify(): void {
      const waiting = wake;
      wake = [];
      waiting.forEach((resume) => resume());
    }

    function startGrace(): void {
      if (ended || readers > 0) return;
      grace = setTimeout(() => abort.abort(), graceMs);
    }

    async function* read(
      lastId: number,
      signal: AbortSignal,
    ): AsyncGenerator<StreamEvent> {
      readers += 1;
      clearTimeout(grace);
      signal.addEventListener("abort", notify);
      try {
        for (let at = Math.max(0, lastId); !signal.aborted;) {
          if (at < events.length) yield events[at++];
          else if (ended) return;
          else await new Promise<void>((resolve) => wake.push(resolve));
        }
      } finally {
        signal.removeEventListener("abort", notify);
        readers -= 1;
        startGrace();
      }
    }

    const begun = new Promise<void>((resolve) => wake.push(resolve));

    const stream: AnswerStream = {
      requestId,
      clientAccount,
      signal: abort.signal,
      push(event) {
        events.push({ id: events.length + 1, ...event });
        notify();
      },
      end() {
        ended = true;
        clearTimeout(grace);
        if (events.length > 0) notify();
        setTimeout(() => streams.delete(requestId), keepMs).unref();
      },
      hasEvents: () => events.length > 0,
      begun,
      read,
    };
    streams.set(requestId, stream);
    forgetOldest(streams, MAX_STREAMS);
    return stream;
  }

  return { open, find: (requestId) => streams.get(requestId) };
}
