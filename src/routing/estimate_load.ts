/**
 * Estimates how many requests an upstream has now.
 *
 * @module
 */

import { REPORT_HALF_LIFE_MS } from "./constants.ts";
import type { UpstreamView } from "./types.ts";

/**
 * Estimates an upstream's requests in flight.
 *
 * Its own requests an entry knows exactly. Those of the other entries are the
 * report less the own ones at that time; the older the report, the less they
 * count, for the others react to load as well.
 *
 * @param view - What is known of the upstream.
 * @param nowMs - The time, in ms.
 * @returns Requests in flight there, estimated.
 * @throws Nothing.
 * @example
 * const load = estimateLoad(view, 1_000);
 */
export function estimateLoad(view: UpstreamView, nowMs: number): number {
  const others = Math.max(0, view.reportedLoad - view.inFlightAtReport);
  const ageMs = Math.max(0, nowMs - view.reportedMs);
  return view.inFlight + others * 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
}
