/**
 * The upstreams that may get a request.
 *
 * @module
 */

import { MIN_USABLE_PART } from "./constants.ts";
import type { RoutingOptions, UpstreamView } from "./types.ts";

/**
 * Lists the upstreams that may get a request.
 *
 * Those that are closed never do. Ejected ones are left out only while enough
 * others remain: an ejection can't empty a service. Those that were tried
 * already are left out unless there is nobody else.
 *
 * @param views - All upstreams.
 * @param options - The time, and those that were tried.
 * @returns Those that may get it.
 * @throws Nothing.
 * @example
 * const usable = listUsable(views, { nowMs: 0, random: 0 });
 */
export function listUsable(
  views: readonly UpstreamView[],
  options: RoutingOptions,
): readonly UpstreamView[] {
  const { nowMs, exclude } = options;
  const open = views.filter((view) => !view.closed);
  const sound = open.filter((view) => view.ejectedUntilMs <= nowMs);
  const usable = sound.length >= open.length * MIN_USABLE_PART ? sound : open;
  if (!exclude || exclude.size === 0) return usable;
  const untried = usable.filter((view) => !exclude.has(view.name));
  return untried.length > 0 ? untried : usable;
}
