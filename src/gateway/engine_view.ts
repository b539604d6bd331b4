/**
 * One upstream as a gateway knows it.
 *
 * @module
 */

import type { EngineRecord } from "../engines/index.ts";

/** An upstream with what this gateway saw of it. */
export interface EngineView {
  /** Newest record; the view itself stays the same while it changes. */
  record: EngineRecord;
  /** Requests of this gateway that begin there. */
  inFlight: number;
  /** Those of them whose prompt is being read: they have given no event. */
  unreadPrompts: number;
  /** Tokens of this gateway's requests on it. */
  tokensInFlight: number;
  /** Requests of the other gateways that begin there, as the leader told. */
  otherRequests: number;
  /** Tokens of the other gateways' requests on it. */
  otherTokens: number;
  /** Own tokens on it, when the others' were last told. */
  tokensThen: number;
  /** Newest load that it told, over its slots. */
  toldLoad: number;
  /** Until when it is left out, in ms. */
  suspectUntilMs: number;
  /** Until when it counts as full, in ms. */
  fullUntilMs: number;
  /** How often in a row it was suspected. */
  suspicions: number;
  /** Share of its answers that failed, smoothed, when one was last noted. */
  failureShare: number;
  /** When an answer was last noted, in ms. */
  answeredMs: number;
  /** How slow it told this gateway that it is, as a factor on its times. */
  toldPace: number;
  /** When it told so, in ms. */
  toldPaceMs: number;
}

/** Ms in which half of what speaks against an upstream is forgotten. */
const FAILURE_HALF_LIFE_MS = 3_000;

/**
 * Tells how far an upstream's newest answers failed. It fades with time, so
 * that one that is not asked any more is tried again.
 *
 * @param view - The upstream.
 * @param nowMs - Monotonic time, in ms.
 * @returns A share from 0 to 1.
 * @throws Nothing.
 * @example
 * const share = getFailureShare(view, performance.now());
 */
export function getFailureShare(
  view: Pick<EngineView, "failureShare" | "answeredMs">,
  nowMs: number,
): number {
  const ageMs = Math.max(0, nowMs - view.answeredMs);
  return view.failureShare * 2 ** (-ageMs / FAILURE_HALF_LIFE_MS);
}

/**
 * Ms for which an engine's own word on its pace counts here: as long as the
 * leader, who asks it too, takes to tell all.
 */
const PACE_AGE_MS = 2_000;

/**
 * Tells how slow an upstream is: by what the leader told, or by its own word
 * to this gateway where that is newer and worse.
 *
 * @param view - The upstream.
 * @param nowMs - Monotonic time, in ms.
 * @returns A factor on its usual times, 1 or more.
 * @throws Nothing.
 * @example
 * const slowness = getSlowness(view, performance.now());
 */
export function getSlowness(
  view: Pick<EngineView, "record" | "toldPace" | "toldPaceMs">,
  nowMs: number,
): number {
  const isFresh = nowMs - view.toldPaceMs < PACE_AGE_MS;
  return Math.max(view.record.slowness ?? 1, isFresh ? view.toldPace : 1);
}

/**
 * Makes the view of an upstream of which this gateway has seen nothing yet.
 *
 * @param record - What the leader told.
 * @returns The view.
 * @throws Nothing.
 * @example
 * engines.set(record.engineId, makeEngineView(record));
 */
export function makeEngineView(record: EngineRecord): EngineView {
  return {
    record,
    inFlight: 0,
    unreadPrompts: 0,
    tokensInFlight: 0,
    otherRequests: 0,
    otherTokens: 0,
    tokensThen: 0,
    toldLoad: 0,
    suspectUntilMs: 0,
    fullUntilMs: 0,
    suspicions: 0,
    failureShare: 0,
    answeredMs: 0,
    toldPace: 1,
    toldPaceMs: -Infinity,
  };
}
