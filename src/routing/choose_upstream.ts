/**
 * The choice of an upstream for a plain request.
 *
 * @module
 */

import { TIE_FACTOR } from "./constants.ts";
import { listUsable } from "./list_usable.ts";
import { scoreUpstream } from "./score_upstream.ts";
import type { RoutingOptions, UpstreamView } from "./types.ts";

/**
 * Chooses the upstream with the least expected time.
 *
 * Among those that are as good as the best, one is drawn, so that entries that
 * know the same do not all choose the same.
 *
 * @param views - What is known of the upstreams.
 * @param options - The time, a random number, those that were tried.
 * @returns The upstream, or undefined where none may get it.
 * @throws Nothing.
 * @example
 * const chosen = chooseUpstream(views, { nowMs: 0, random: 0.5 });
 */
export function chooseUpstream(
  views: readonly UpstreamView[],
  options: RoutingOptions,
): UpstreamView | undefined {
  const usable = listUsable(views, options);
  const scores = usable.map((view) => scoreUpstream(view, options.nowMs));
  const best = Math.min(...scores);
  const equals = usable.filter((_view, at) => scores[at] <= best * TIE_FACTOR);
  return equals[Math.floor(options.random * equals.length)];
}
