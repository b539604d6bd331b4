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
  let best = Infinity;
  let equals: UpstreamView[] = [];
  for (const view of listUsable(views, options)) {
    const score = scoreUpstream(view, options);
    if (score > best * TIE_FACTOR) continue;
    if (score * TIE_FACTOR < best) equals = [];
    best = Math.min(best, score);
    equals.push(view);
  }
  return equals[Math.floor(options.random * equals.length)];
}
