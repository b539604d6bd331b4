/**
 * Estimates the time that a request takes at an upstream.
 *
 * @module
 */

import {
  MIN_SHARE,
  MIN_SLOW_START_FACTOR,
  SLOW_START_MS,
} from "./constants.ts";
import type { RoutingOptions, UpstreamView } from "./types.ts";

/**
 * Scores an upstream: the expected time, in ms, until it responds.
 *
 * The total load is estimated from the entry's own requests in flight there,
 * divided by the share of the upstream that the entry may use.
 *
 * @param view - The upstream.
 * @param options - The time, and the fraction of work that a cached prefix saves.
 * @returns The expected time, in ms; lower is better.
 * @throws Nothing.
 * @example
 * const expectedMs = scoreUpstream(view, { nowMs: 1_000, random: 0 });
 */
export function scoreUpstream(
  view: UpstreamView,
  options: RoutingOptions,
): number {
  const { nowMs, getReusedFraction } = options;
  const work = getReusedFraction ? 1 - getReusedFraction(view.name) : 1;
  const knownMs = nowMs - view.knownSinceMs;
  const slowStartFactor = knownMs >= SLOW_START_MS
    ? 1
    : Math.max(MIN_SLOW_START_FACTOR, knownMs / SLOW_START_MS);
  const effectivePerS = view.speedPerS * slowStartFactor *
    Math.max(MIN_SHARE, view.share);
  return view.roundTripMs + ((view.inFlight + work) * 1_000) / effectivePerS;
}
