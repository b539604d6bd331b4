/**
 * The time that a request is expected to take at an upstream.
 *
 * @module
 */

import { MIN_SHARE, SLOW_START_FLOOR, SLOW_START_MS } from "./constants.ts";
import type { RoutingOptions, UpstreamView } from "./types.ts";

/**
 * Scores an upstream: the time, in ms, until it would have answered.
 *
 * The entry's own requests there, over the part of the upstream that it may
 * count on, stand for all requests there.
 *
 * @param view - What is known of the upstream.
 * @param options - The time, and what the upstream would be spared.
 * @returns The expected time, in ms; the least is the best.
 * @throws Nothing.
 * @example
 * const expectedMs = scoreUpstream(view, { nowMs: 1_000, random: 0 });
 */
export function scoreUpstream(
  view: UpstreamView,
  options: RoutingOptions,
): number {
  const { nowMs, getSparedPart } = options;
  const work = getSparedPart ? 1 - getSparedPart(view.name) : 1;
  const knownMs = nowMs - view.knownSinceMs;
  const warmth = knownMs >= SLOW_START_MS
    ? 1
    : Math.max(SLOW_START_FLOOR, knownMs / SLOW_START_MS);
  const usablePerS = view.speedPerS * warmth * Math.max(MIN_SHARE, view.share);
  return view.roundTripMs + ((view.inFlight + work) * 1_000) / usablePerS;
}
