/**
 * Notes whether streams had long pauses.
 *
 * @module
 */

/** Notes the pauses of all streams. */
export interface PauseWatch {
  /** Notes a pause between two events. */
  notePause(pauseMs: number, options: { bearableMs: number }): void;
  /** Whether a long pause was noted since the last call. */
  takeSlow(): boolean;
}

/** Share of what callers bear from which on a pause counts as long. */
const LONG_SHARE = 0.6;

/** Ms that callers bear where the route says nothing. */
const DEFAULT_BEARABLE_MS = 500;

/**
 * Makes the watch.
 *
 * @returns The watch.
 * @throws Nothing.
 * @example
 * createPauseWatch().notePause(250, { bearableMs: 200 });
 */
export function createPauseWatch(): PauseWatch {
  let isSlow = false;
  return {
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
