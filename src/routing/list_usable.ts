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
 * Those that are closed never do, nor those that asked for a back-off while it lasts: what
 * they were sent they would turn away. Ejected ones are left out only while enough
 * others with the same layers remain: an ejection can't empty a service, nor
 * a stage. Those that were tried
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
  if (views.every((view) => isSound(view, nowMs)) && !exclude?.size) {
    return views;
  }
  // Upstreams with other layers can't stand in: each range is on its own.
  return [...groupByLayers(views).values()].flatMap((group) =>
    listUsableOfGroup(group, options)
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

function listUsableOfGroup(
  group: readonly UpstreamView[],
  options: RoutingOptions,
): readonly UpstreamView[] {
  const { nowMs, exclude } = options;
  const open = group.filter((view) =>
    !view.closed && !isBackedOff(view, nowMs)
  );
  const sound = open.filter((view) => isSound(view, nowMs));
  const usable = sound.length >= open.length * MIN_USABLE_PART ? sound : open;
  if (!exclude?.size) return usable;
  const untried = usable.filter((view) => !exclude.has(view.name));
  return untried.length > 0 ? untried : usable;
}

function isSound(view: UpstreamView, nowMs: number): boolean {
  return !view.closed && view.ejectedUntilMs <= nowMs &&
    !isBackedOff(view, nowMs);
}

function isBackedOff(
  { backOffUntilMs = 0 }: UpstreamView,
  nowMs: number,
): boolean {
  return backOffUntilMs > nowMs;
}
