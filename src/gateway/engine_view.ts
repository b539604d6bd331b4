/**
 * One upstream as a gateway knows it.
 *
 * @module
 */

import type { EngineRecord } from "../engines/index.ts";

/** An upstream with this gateway's observations. */
export interface EngineView {
  /** Newest record; it is replaced while the view itself stays the same object. */
  record: EngineRecord;
  /** Requests of this gateway that start on it. */
  inFlight: number;
  /** Those of them whose prompt is being read: they have returned no event yet. */
  prefillingPrompts: number;
  /** Tokens of this gateway's requests on it. */
  tokensInFlight: number;
  /** Requests of the other gateways that start on it, as the leader reported. */
  otherRequests: number;
  /** Tokens of the other gateways' requests on it. */
  otherTokens: number;
  /** This gateway's tokens on it at the last report of the others'. */
  tokensAtReport: number;
  /** Newest load that it reported, over its slots. */
  reportedLoad: number;
  /** Time, in ms, until which it is excluded as suspected. */
  suspectUntilMs: number;
  /** Time, in ms, at which it was last excluded. */
  suspectedMs: number;
  /** Time, in ms, until which it counts as full. */
  fullUntilMs: number;
  /**
   * Whether it was excluded because it did not answer; an answer that it gives later
   * refutes that.
   */
  isUnanswered: boolean;
  /** Time, in ms, of its last answer to a probe. */
  probeAnsweredMs: number;
  /** How often in a row it was suspected. */
  suspicions: number;
  /** Smoothed share of its answers that failed, at the time of the last answer. */
  failureShare: number;
  /** Time, in ms, of the last answer. */
  answeredMs: number;
  /** Slowness that it reported to this gateway, as a factor on its usual times. */
  reportedSlowness: number;
  /** Time, in ms, of that report. */
  slownessReportedMs: number;
}

/** Half-life, in ms, of recorded failures. */
const FAILURE_HALF_LIFE_MS = 3_000;

/**
 * Gets the share of an upstream's recent answers that failed. It decays with time, so
 * that an upstream that is no longer used is tried again.
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
 * Ms for which an engine's own report of its slowness counts: the time that the leader,
 * which asks it too, takes to report to all gateways.
 */
const MAX_SLOWNESS_AGE_MS = 2_000;

/**
 * Gets how slow an upstream is: as the leader reported, or as it reported to this
 * gateway where that is newer and slower.
 *
 * @param view - The upstream.
 * @param nowMs - Monotonic time, in ms.
 * @returns A factor on its usual times, 1 or more.
 * @throws Nothing.
 * @example
 * const slowness = getSlowness(view, performance.now());
 */
export function getSlowness(
  view: Pick<EngineView, "record" | "reportedSlowness" | "slownessReportedMs">,
  nowMs: number,
): number {
  const isFresh = nowMs - view.slownessReportedMs < MAX_SLOWNESS_AGE_MS;
  return Math.max(
    view.record.slowness ?? 1,
    isFresh ? view.reportedSlowness : 1,
  );
}

/**
 * Creates the view of an upstream that this gateway hasn't used yet.
 *
 * @param record - The record from the leader.
 * @returns The view.
 * @throws Nothing.
 * @example
 * engines.set(record.engineId, makeEngineView(record));
 */
export function makeEngineView(record: EngineRecord): EngineView {
  return {
    record,
    inFlight: 0,
    prefillingPrompts: 0,
    tokensInFlight: 0,
    otherRequests: 0,
    otherTokens: 0,
    tokensAtReport: 0,
    reportedLoad: 0,
    suspectUntilMs: 0,
    suspectedMs: -Infinity,
    isUnanswered: false,
    probeAnsweredMs: -Infinity,
    fullUntilMs: 0,
    suspicions: 0,
    failureShare: 0,
    answeredMs: 0,
    reportedSlowness: 1,
    slownessReportedMs: -Infinity,
  };
}
