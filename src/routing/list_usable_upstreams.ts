/**
 * Filters the upstreams to which a request may be sent.
 *
 * @module
 */

import { MIN_USABLE_FRACTION } from "./constants.ts";
import type { RoutingOptions, UpstreamView } from "./types.ts";

/**
 * Lists the upstreams to which a request may be sent.
 *
 * Closed upstreams are never usable. Nor are those that asked for a back-off
 * while it lasts, since they would reject the request. Ejected upstreams are
 * excluded only while enough others with the same layers remain, so that
 * ejections cannot leave a service or a stage without upstreams. Upstreams that
 * were already tried are excluded unless there is no other.
 *
 * @param views - All upstreams.
 * @param options - The time, and the upstreams already tried.
 * @returns The usable upstreams.
 * @throws Nothing.
 * @example
 * const usable = listUsableUpstreams(views, { nowMs: 0, random: 0 });
 */
export function listUsableUpstreams(
  views: readonly UpstreamView[],
  options: RoutingOptions,
): readonly UpstreamView[] {
  const { nowMs, exclude } = options;
  if (views.every((view) => isHealthy(view, nowMs)) && !exclude?.size) {
    return views;
  }
  // Upstreams with other layers are no substitute: each layer range is filtered alone.
  return [...groupByLayers(views).values()].flatMap((group) =>
    listUsableInGroup(group, options)
  );
}

function groupByLayers(
  views: readonly UpstreamView[],
): Map<string, UpstreamView[]> {
  const groups = new Map<string, UpstreamView[]>();
  for (const view of views) {
    const key = `${view.layers?.start}-${view.layers?.end}`;
    const group = groups.get(key);
    if (group) group.push(view);
    else groups.set(key, [view]);
  }
  return groups;
}

function listUsableInGroup(
  group: readonly UpstreamView[],
  options: RoutingOptions,
): readonly UpstreamView[] {
  const { nowMs, exclude } = options;
  const available = group.filter((view) =>
    !view.closed && !isBackedOff(view, nowMs)
  );
  const healthy = available.filter((view) => isHealthy(view, nowMs));
  const usable = healthy.length >= available.length * MIN_USABLE_FRACTION
    ? healthy
    : available;
  if (!exclude?.size) return usable;
  const untried = usable.filter((view) => !exclude.has(view.name));
  return untried.length > 0 ? untried : usable;
}

function isHealthy(view: UpstreamView, nowMs: number): boolean {
  return !view.closed && view.ejectedUntilMs <= nowMs &&
    !isBackedOff(view, nowMs);
}

function isBackedOff(
  { backOffUntilMs = 0 }: UpstreamView,
  nowMs: number,
): boolean {
  return backOffUntilMs > nowMs;
}
