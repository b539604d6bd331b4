/**
 * Tracks the newest incarnation of each upstream: a late message of an earlier
 * incarnation says nothing about the upstream's present state.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";
import type { EngineRecord, NewestIncarnations } from "./types.ts";

/** The fields of an incarnation that identify and order it. */
type Incarnation = Pick<EngineRecord, "engineId" | "name" | "startedMs">;

/** Upstreams whose newest incarnation is kept; the oldest entries are evicted first. */
const MAX_UPSTREAMS = 5_000;

/**
 * Gets the name of an upstream, which is the same for all its incarnations.
 *
 * @param run - One of its incarnations.
 * @returns The name.
 * @throws Nothing.
 * @example
 * getUpstreamName({ engineId: "e1@100", name: "e1" }); // "e1"
 */
export function getUpstreamName(
  { name, engineId }: Pick<Incarnation, "name" | "engineId">,
): string {
  return name ?? engineId;
}

/**
 * Checks whether an incarnation is older than the newest one of its upstream. One
 * without a start time can't be ordered: it counts as older if any start time is known.
 *
 * @param incarnation - The incarnation.
 * @param newestRuns - The newest incarnations.
 * @returns Whether it is an older one.
 * @throws Nothing.
 * @example
 * if (isEarlierIncarnation(heartbeat, state.newestRuns)) return;
 */
export function isEarlierIncarnation(
  incarnation: Incarnation,
  newestRuns: NewestIncarnations = new Map(),
): boolean {
  const { startedMs } = incarnation;
  if (startedMs === undefined) return newestRuns.size > 0;
  const newest = newestRuns.get(getUpstreamName(incarnation));
  return startedMs < (newest?.startedMs ?? -Infinity);
}

/**
 * Records an incarnation if it is the newest of its upstream.
 *
 * @param newestRuns - The newest incarnations.
 * @param incarnation - The incarnation.
 * @returns The newest incarnations, updated.
 * @throws Nothing.
 * @example
 * const next = recordIncarnation(newestRuns, record);
 */
export function recordIncarnation(
  newestRuns: NewestIncarnations = new Map(),
  incarnation: Incarnation,
): NewestIncarnations {
  const { engineId, startedMs } = incarnation;
  if (startedMs === undefined) return newestRuns;
  const name = getUpstreamName(incarnation);
  const known = newestRuns.get(name);
  if (known && known.startedMs >= startedMs) return newestRuns;
  const next = new Map(newestRuns);
  next.delete(name);
  next.set(name, { engineId, startedMs });
  evictOldest(next, MAX_UPSTREAMS);
  return next;
}
