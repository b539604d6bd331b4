/**
 * Chooses an upstream for a plain request.
 *
 * @module
 */

import { TIE_FACTOR } from "./constants.ts";
import { listUsableUpstreams } from "./list_usable_upstreams.ts";
import { scoreUpstream } from "./score_upstream.ts";
import type { RoutingOptions, UpstreamView } from "./types.ts";

/**
 * Chooses the upstream with the lowest expected time.
 *
 * Ties are broken at random, so that entries with the same view of the load do
 * not all choose the same upstream.
 *
 * @param views - The upstreams.
 * @param options - The time, a random number, the upstreams already tried.
 * @returns The upstream, or undefined if none is usable.
 * @throws Nothing.
 * @example
 * const chosen = chooseUpstream(views, { nowMs: 0, random: 0.5 });
 */
export function chooseUpstream(
  views: readonly UpstreamView[],
  options: RoutingOptions,
): UpstreamView | undefined {
  let bestScore = Infinity;
  let candidates: UpstreamView[] = [];
  for (const view of listUsableUpstreams(views, options)) {
    const score = scoreUpstream(view, options);
    if (score > bestScore * TIE_FACTOR) continue;
    if (score * TIE_FACTOR < bestScore) candidates = [];
    bestScore = Math.min(bestScore, score);
    candidates.push(view);
  }
  return candidates[Math.floor(options.random * candidates.length)];
}
