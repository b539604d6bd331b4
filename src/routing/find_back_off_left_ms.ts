/**
 * When the end of back-offs makes a choice possible again.
 *
 * @module
 */

import type { UpstreamView } from "./types.ts";

/** The time, and what is to be possible. */
export interface FindBackOffLeftOptions {
  readonly nowMs: number;
  /** Whether a request could be sent at a time, in ms. */
  readonly canSend: (atMs: number) => boolean;
}

/**
 * Finds the time until the first end of a back-off from which on a request can be sent.
 *
 * @param views - The upstreams of which one or several have to take it.
 * @param options - The time, and what is to be possible.
 * @returns Ms; undefined where no back-off is in the way.
 * @throws Nothing.
 * @example
 * const canSend = (nowMs) => chooseUpstream(views, { nowMs, random }) !== undefined;
 * const leftMs = findBackOffLeftMs(views, { nowMs, canSend });
 */
export function findBackOffLeftMs(
  views: readonly Pick<UpstreamView, "backOffUntilMs">[],
  { nowMs, canSend }: FindBackOffLeftOptions,
): number | undefined {
  const endsMs = views.flatMap(({ backOffUntilMs = 0 }) => backOffUntilMs)
    .filter((atMs) => atMs > nowMs)
    .sort((a, b) => a - b);
  const endMs = endsMs.find(canSend);
  return endMs === undefined ? undefined : endMs - nowMs;
}
