/**
 * The time that a request is expected to take at an upstream.
 *
 * @module
 */

import { SLOW_START_FLOOR, SLOW_START_MS } from "./constants.ts";
import { estimateLoad } from "./estimate_load.ts";
import type { UpstreamView } from "./types.ts";

/**
 * Scores an upstream: the time, in ms, until it would have answered.
 *
 * @param view - What is known of the upstream.
 * @param nowMs - The time, in ms.
 * @returns The expected time, in ms; the least is the best.
 * @throws Nothing.
 * @example
 * const expectedMs = scoreUpstream(view, 1_000);
 */
export function scoreUpstream(view: UpstreamView, nowMs: number): number {
  const work = 1 - 0.8 * (view.prefixPart ?? 0);
  const load = estimateLoad(view, nowMs) + work;
  const knownMs = nowMs - view.knownSinceMs;
  const warmth = knownMs >= SLOW_START_MS
    ? 1
    : Math.max(SLOW_START_FLOOR, knownMs / SLOW_START_MS);
  return view.roundTripMs + (load * 1_000) / (view.speedPerS * warmth);
}
