/**
 * Tracks the engines that serve streams with long pauses between events.
 *
 * @module
 */

import type { PathPart } from "../layers/index.ts";

/** A pause between two events of a stream. */
export interface StreamPause {
  readonly pauseMs: number;
  /** Pause, in ms, that callers tolerate; 0 if the route does not set one. */
  readonly toleratedMs: number;
  /** Engines that serve the stream. */
  readonly path: readonly Pick<PathPart, "engineId">[];
}

/** Tracks the pauses of all streams. */
export interface PauseTracker {
  /** Records a pause between two events. */
  recordPause(pause: StreamPause): void;
  /** Returns the engines of streams that had a long pause since the previous call. */
  takeSlowEngines(): readonly string[];
}

/** Share of the tolerated pause above which a pause counts as long. */
const LONG_PAUSE_RATIO = 0.6;

/** Tolerated pause, in ms, if the route does not set one. */
const DEFAULT_TOLERATED_PAUSE_MS = 500;

/**
 * Maximum number of engines reported at a time: those of a few paths. More slow
 * streams than that mean that the fleet as a whole is slow.
 */
const MAX_SLOW_ENGINES = 24;

/**
 * Creates a pause tracker.
 *
 * @returns The tracker.
 * @throws Nothing.
 * @example
 * createPauseTracker().recordPause({ pauseMs: 250, toleratedMs: 200, path });
 */
export function createPauseTracker(): PauseTracker {
  let slowEngineIds = new Set<string>();
  return {
    recordPause({ pauseMs, toleratedMs, path }) {
      const limitMs = toleratedMs > 0
        ? toleratedMs
        : DEFAULT_TOLERATED_PAUSE_MS;
      if (pauseMs <= limitMs * LONG_PAUSE_RATIO) return;
      for (const { engineId } of path) {
        if (slowEngineIds.size < MAX_SLOW_ENGINES) slowEngineIds.add(engineId);
      }
    },
    takeSlowEngines() {
      const taken = [...slowEngineIds];
      slowEngineIds = new Set();
      return taken;
    },
  };
}
