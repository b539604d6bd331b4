/**
 * Notes which engines streams with long pauses run over.
 *
 * @module
 */

import type { PathPart } from "../layers/index.ts";

/** A pause between two events of a stream. */
export interface StreamPause {
  readonly pauseMs: number;
  /** Pause, in ms, that callers bear; 0 where it is not said. */
  readonly bearableMs: number;
  /** Engines that the stream runs over. */
  readonly path: readonly Pick<PathPart, "engineId">[];
}

/** Notes the pauses of all streams. */
export interface PauseWatch {
  /** Notes a pause between two events. */
  notePause(pause: StreamPause): void;
  /** Engines of streams with a long pause since the last call. */
  takeSlow(): readonly string[];
}

/** Share of what callers bear from which on a pause counts as long. */
const LONG_SHARE = 0.6;

/** Ms that callers bear where the route says nothing. */
const DEFAULT_BEARABLE_MS = 500;

/**
 * Engines that are named at a time, at most: those of a few paths. More slow
 * streams than that are news of a fleet that is slow as a whole.
 */
const MAX_NAMED = 24;

/**
 * Makes the watch.
 *
 * @returns The watch.
 * @throws Nothing.
 * @example
 * createPauseWatch().notePause({ pauseMs: 250, bearableMs: 200, path });
 */
export function createPauseWatch(): PauseWatch {
  let slow = new Set<string>();
  return {
    notePause({ pauseMs, bearableMs, path }) {
      const limitMs = bearableMs > 0 ? bearableMs : DEFAULT_BEARABLE_MS;
      if (pauseMs <= limitMs * LONG_SHARE) return;
      for (const { engineId } of path) {
        if (slow.size < MAX_NAMED) slow.add(engineId);
      }
    },
    takeSlow() {
      const taken = [...slow];
      slow = new Set();
      return taken;
    },
  };
}
