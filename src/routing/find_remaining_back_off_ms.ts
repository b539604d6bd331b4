/**
 * Computes how long back-offs keep a request from being sent.
 *
 * @module
 */

import type { UpstreamView } from "./types.ts";

/** Options of {@link findRemainingBackOffMs}. */
export interface FindRemainingBackOffOptions {
  readonly nowMs: number;
  /** Whether a request could be sent at the given time, in ms. */
  readonly canSend: (atMs: number) => boolean;
}

/**
 * Finds the time until the earliest end of a back-off at which a request can be
 * sent.
 *
 * @param views - The upstreams that may serve the request, alone or as a chain.
 * @param options - The time, and the check whether a request can be sent.
 * @returns The time in ms, or undefined if the end of no back-off would help.
 * @throws Nothing.
 * @example
 * const canSend = (nowMs) => chooseUpstream(views, { nowMs, random }) !== undefined;
 * const leftMs = findRemainingBackOffMs(views, { nowMs, canSend });
 */
export function findRemainingBackOffMs(
  views: readonly Pick<UpstreamView, "backOffUntilMs">[],
  { nowMs, canSend }: FindRemainingBackOffOptions,
): number | undefined {
  const endsMs = views.flatMap(({ backOffUntilMs = 0 }) => backOffUntilMs)
    .filter((atMs) => atMs > nowMs)
    .sort((a, b) => a - b);
  const endMs = endsMs.find(canSend);
  return endMs === undefined ? undefined : endMs - nowMs;
}
