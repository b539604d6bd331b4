/**
 * Which run of each upstream is the newest: what an earlier one said may arrive
 * later, and then says nothing about the upstream as it is.
 *
 * @module
 */

import { forgetOldest } from "../collections/index.ts";
import type { EngineRecord, NewestRuns } from "./types.ts";

/** A run as far as runs are ordered by it. */
type Run = Pick<EngineRecord, "engineId" | "name" | "startedMs">;

/** Upstreams whose newest run is remembered; the longest known go first. */
const MAX_RUNS = 5_000;

/**
 * Gets the name of an upstream, whichever run of it.
 *
 * @param run - One of its runs.
 * @returns The name.
 * @throws Nothing.
 * @example
 * getUpstreamName({ engineId: "e1@100", name: "e1" }); // "e1"
 */
export function getUpstreamName(
  { name, engineId }: Pick<Run, "name" | "engineId">,
): string {
  return name ?? engineId;
}

/**
 * Tells whether a run is not the newest of its upstream. One that doesn't tell when
 * it started can't be ordered: where others tell it, it counts as earlier.
 *
 * @param run - The run.
 * @param newestRuns - The newest runs.
 * @returns Whether it is an earlier one.
 * @throws Nothing.
 * @example
 * if (isOfEarlierRun(beat, state.newestRuns)) return;
 */
export function isOfEarlierRun(
  run: Run,
  newestRuns: NewestRuns = new Map(),
): boolean {
  const { startedMs } = run;
  if (startedMs === undefined) return newestRuns.size > 0;
  const newest = newestRuns.get(getUpstreamName(run));
  return startedMs < (newest?.startedMs ?? -Infinity);
}

/**
 * Notes a run, if it is the newest of its upstream.
 *
 * @param newestRuns - The newest runs.
 * @param run - The run.
 * @returns The newest runs with it.
 * @throws Nothing.
 * @example
 * const next = noteRun(newestRuns, record);
 */
export function noteRun(
  newestRuns: NewestRuns = new Map(),
  run: Run,
): NewestRuns {
  const { engineId, startedMs } = run;
  if (startedMs === undefined) return newestRuns;
  const name = getUpstreamName(run);
  const known = newestRuns.get(name);
  if (known && known.startedMs >= startedMs) return newestRuns;
  const next = new Map(newestRuns);
  next.delete(name);
  next.set(name, { engineId, startedMs });
  forgetOldest(next, MAX_RUNS);
  return next;
}
