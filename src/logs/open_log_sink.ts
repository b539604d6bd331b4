/**
 * Writes log lines without waiting for their reader.
 *
 * @module
 */

import sonicBoom from "sonic-boom";

/** Where log lines are written. */
export interface LogSink {
  /** Writes a line, or drops it if the buffer is full. */
  write(line: string): void;
  /** Number of lines dropped since the last call. */
  takeDropped(): number;
  /**
   * Writes the buffered lines before it returns.
   *
   * @throws {Error} When the reader is gone, or takes none for too long.
   */
  flush(): void;
}

/** Options of {@link openLogSink}. */
export interface OpenLogSinkOptions {
  /** File descriptor, which stays open. */
  readonly descriptor: number;
  /** Size of the buffer for a slow reader; lines beyond it are dropped. */
  readonly maxBufferBytes?: number;
  /** Longest time that a flush waits for a slow reader, in ms. */
  readonly flushTimeoutMs?: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

const DEFAULT_MAX_BUFFER_BYTES = 256 * 1024;

const DEFAULT_FLUSH_TIMEOUT_MS = 300;

/**
 * Opens a sink for log lines.
 *
 * Lines are kept while they can't be written and tried again with the next one. A
 * flush in time needs a descriptor that doesn't block; see `guardStandardStreams`.
 *
 * @param options - The descriptor, the limits and the clock.
 * @returns The sink.
 * @throws Nothing.
 * @example
 * const sink = openLogSink({ descriptor: 1, now: () => performance.now() });
 * const log = createLogger({ program, write: sink.write });
 */
export function openLogSink(options: OpenLogSinkOptions): LogSink {
  const {
    descriptor,
    maxBufferBytes = DEFAULT_MAX_BUFFER_BYTES,
    flushTimeoutMs = DEFAULT_FLUSH_TIMEOUT_MS,
    now,
  } = options;
  let flushEndMs = Infinity;
  let dropped = 0;
  const sink = new sonicBoom.SonicBoom({
    fd: descriptor,
    sync: false,
    maxLength: maxBufferBytes,
    retryEAGAIN: () => now() < flushEndMs,
  });
  // Without its reader a log has no place for the error. Its lines stay in the buffer,
  // and those that are dropped later are counted.
  sink.on("error", () => {});
  sink.on("drop", () => dropped += 1);
  return {
    write: (line) => void sink.write(`${line}\n`),
    takeDropped() {
      const count = dropped;
      dropped = 0;
      return count;
    },
    flush() {
      flushEndMs = now() + flushTimeoutMs;
      try {
        sink.flushSync();
      } finally {
        flushEndMs = Infinity;
      }
    },
  };
}
