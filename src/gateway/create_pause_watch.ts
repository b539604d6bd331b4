/**
 * Watches the pauses of all streams with one timer.
 *
 * @module
 */

/** A stream that is watched. */
export interface WatchedStream {
  /** Called at each look. */
  check(): void;
}

/** Watches the pauses of all streams. */
export interface PauseWatch {
  /** Watches a stream until what is returned is called. */
  add(stream: WatchedStream): () => void;
  /** Notes a pause between two events. */
  notePause(pauseMs: number, options: { bearableMs: number }): void;
  /** Whether a long pause was noted since the last call. */
  takeSlow(): boolean;
}

/** Ms between two looks at the streams. */
const LOOK_INTERVAL_MS = 100;

/** Share of what callers bear from which on a pause counts as long. */
const LONG_SHARE = 0.6;

/** Ms that callers bear where the route says nothing. */
const DEFAULT_BEARABLE_MS = 500;

/**
 * Makes the watch; its timer runs only while streams are watched.
 *
 * @returns The watch.
 * @throws Nothing.
 * @example
 * const remove = createPauseWatch().add({ check });
 */
export function createPauseWatch(): PauseWatch {
  const streams = new Set<WatchedStream>();
  let timer: ReturnType<typeof setInterval> | undefined;
  let isSlow = false;

  function look(): void {
    for (const stream of streams) stream.check();
  }

  return {
    add(stream) {
      streams.add(stream);
      timer ??= setInterval(look, LOOK_INTERVAL_MS);
      return () => {
        streams.delete(stream);
        if (streams.size > 0) return;
        clearInterval(timer);
        timer = undefined;
      };
    },
    notePause(pauseMs, { bearableMs }) {
      const limitMs = bearableMs > 0 ? bearableMs : DEFAULT_BEARABLE_MS;
      if (pauseMs > limitMs * LONG_SHARE) isSlow = true;
    },
    takeSlow() {
      const was = isSlow;
      isSlow = false;
      return was;
    },
  };
}
