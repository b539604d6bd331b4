/**
 * Resumable answer streams.
 *
 * Each stream buffers its events until the retention period after its end. A reader
 * gets the events after any position, and then new ones as they arrive.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";

/** An event of a stream; ids count from 1. */
export interface StreamEvent {
  readonly id: number;
  /** Type of the event; empty for a token. */
  readonly name: string;
  readonly data: string;
}

/** The stream of one answer. */
export interface AnswerStream {
  readonly requestId: string;
  /** The client account that may read it. */
  readonly clientAccount: string;
  push(event: Omit<StreamEvent, "id">): void;
  end(): void;
  hasEvents(): boolean;
  /** Resolves at the first event. */
  readonly begun: Promise<void>;
  /**
   * Yields the events after `lastId`, then new ones as they arrive, until the stream
   * ends or the reader's signal is aborted.
   */
  read(lastId: number, signal: AbortSignal): AsyncGenerator<StreamEvent>;
  /** Aborted when the stream has had no reader for the grace period. */
  readonly signal: AbortSignal;
}

/** The answer streams of this entry. */
export interface StreamStore {
  open(of: { requestId: string; clientAccount: string }): AnswerStream;
  find(requestId: string): AnswerStream | undefined;
}

/** Options of {@link createStreamStore}. */
export interface CreateStreamStoreOptions {
  /** Time, in ms, for which a stream is retained after its end. */
  readonly retentionMs?: number;
  /** Time, in ms, after which a stream without a reader is aborted. */
  readonly graceMs?: number;
}

/** Time, in ms, for which a stream is retained after its end. */
export const DEFAULT_RETENTION_MS = 60_000;

/** Time, in ms, after which a stream without a reader is aborted. */
export const DEFAULT_GRACE_MS = 5_000;

/** Number of streams kept; the oldest is evicted first. */
const MAX_STREAMS = 4_096;

/**
 * Creates a stream store.
 *
 * @param options - Retention and grace periods.
 * @returns An empty store.
 * @throws Nothing.
 * @example
 * const streams = createStreamStore();
 */
export function createStreamStore(
  options: CreateStreamStoreOptions = {},
): StreamStore {
  const { retentionMs = DEFAULT_RETENTION_MS, graceMs = DEFAULT_GRACE_MS } =
    options;
  const streams = new Map<string, AnswerStream>();

  function open(
    of: { requestId: string; clientAccount: string },
  ): AnswerStream {
    const { requestId, clientAccount } = of;
    const events: StreamEvent[] = [];
    const abort = new AbortController();
    let ended = false;
    let readerCount = 0;
    let waiters: (() => void)[] = [];
    let graceTimer: NodeJS.Timeout | undefined;

    function notify(): void {
      const waiting = waiters;
      waiters = [];
      waiting.forEach((resume) => resume());
    }

    function startGraceTimer(): void {
      if (ended || readerCount > 0) return;
      graceTimer = setTimeout(() => abort.abort(), graceMs);
    }

    async function* read(
      lastId: number,
      signal: AbortSignal,
    ): AsyncGenerator<StreamEvent> {
      readerCount += 1;
      clearTimeout(graceTimer);
      signal.addEventListener("abort", notify);
      try {
        for (let index = Math.max(0, lastId); !signal.aborted;) {
          if (index < events.length) yield events[index++];
          else if (ended) return;
          else await new Promise<void>((resolve) => waiters.push(resolve));
        }
      } finally {
        signal.removeEventListener("abort", notify);
        readerCount -= 1;
        startGraceTimer();
      }
    }

    const begun = new Promise<void>((resolve) => waiters.push(resolve));

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
        clearTimeout(graceTimer);
        if (events.length > 0) notify();
        setTimeout(() => streams.delete(requestId), retentionMs).unref();
      },
      hasEvents: () => events.length > 0,
      begun,
      read,
    };
    streams.set(requestId, stream);
    evictOldest(streams, MAX_STREAMS);
    return stream;
  }

  return { open, find: (requestId) => streams.get(requestId) };
}
