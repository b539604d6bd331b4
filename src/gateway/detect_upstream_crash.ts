/**
 * Detects whether a run broke off because its upstream crashed.
 *
 * @module
 */

import type { CrashReport } from "../quarantine/index.ts";
import type { UpstreamAddress } from "./create_liveness_check.ts";
import type { Call, ServingContext } from "./types.ts";

/** A run that broke off. */
export interface BrokenRun {
  /** Upstream on which it ran. */
  readonly upstream: UpstreamAddress;
  /** When it was sent, in ms. */
  readonly sentMs: number;
  /** When its first event arrived, in ms; undefined if none did. */
  readonly firstEventMs: number | undefined;
  /** What to report if it crashed its upstream, see {@link RunPermit.noteSent}. */
  readonly crashReports: readonly CrashReport[];
}

/**
 * Time, in ms, after its first event for which a run counts as just begun. Requests
 * that crash their upstream do so 17 to 120 ms after it began to process them; twice
 * that leaves time to notice the crash.
 */
const JUST_BEGUN_MS = 250;

/** Time, in ms, after its first event when a run has proved that it crashes nothing. */
const PROVED_MS = 500;

/**
 * The same for the parts of its prompt. All requests with a suspected part wait for a
 * proof, so it comes as soon as a crash would no longer count against the run.
 */
const PARTS_PROVED_MS = JUST_BEGUN_MS;

/**
 * Checks whether a run had only just begun: a run that has produced events for longer
 * did not crash its upstream.
 *
 * @param run - When its first event arrived.
 * @param nowMs - Monotonic time, in ms.
 * @returns Whether it had just begun.
 * @throws Nothing.
 * @example
 * const isSuspect = hasJustBegun({ firstEventMs: undefined }, now());
 */
export function hasJustBegun(
  run: Pick<BrokenRun, "firstEventMs">,
  nowMs: number,
): boolean {
  const { firstEventMs } = run;
  return firstEventMs === undefined || nowMs - firstEventMs < JUST_BEGUN_MS;
}

/**
 * Checks whether a run has lasted long enough to prove its request harmless.
 *
 * @param run - When its first event arrived.
 * @param nowMs - Monotonic time, in ms.
 * @returns Whether it has lasted long enough.
 * @throws Nothing.
 * @example
 * if (isProved(run, now())) quarantine.noteProved(requestKey);
 */
export function isProved(
  run: Pick<BrokenRun, "firstEventMs">,
  nowMs: number,
): boolean {
  return run.firstEventMs !== undefined &&
    nowMs - run.firstEventMs >= PROVED_MS;
}

/**
 * Checks whether a run has lasted long enough to prove the parts of its prompt harmless.
 *
 * @param run - When its first event arrived.
 * @param nowMs - Monotonic time, in ms.
 * @returns Whether it has lasted long enough.
 * @throws Nothing.
 * @example
 * if (arePartsProved(run, now())) quarantine.notePartsProved(partKeys, firstEventMs);
 */
export function arePartsProved(
  run: Pick<BrokenRun, "firstEventMs">,
  nowMs: number,
): boolean {
  return run.firstEventMs !== undefined &&
    nowMs - run.firstEventMs >= PARTS_PROVED_MS;
}

/**
 * Checks whether the upstream of a broken run seems to have crashed: it refuses
 * connections while others accept them. If so, reports it to the quarantine, and resolves
 * only once all gateways know or a short timeout has passed. The leader withdraws the
 * report if the upstream's heartbeats go on.
 *
 * @param call - The call.
 * @param context - The liveness check, the quarantine, suspected ends and metrics.
 * @param run - The run.
 * @returns Whether the upstream seems to have crashed just after the run began.
 * @throws Nothing.
 * @example
 * const isSuspect = await detectUpstreamCrash(call, context, run);
 */
export async function detectUpstreamCrash(
  call: Call,
  context: Pick<
    ServingContext,
    | "livenessCheck"
    | "abandonedRuns"
    | "quarantine"
    | "suspectedEnds"
    | "metrics"
    | "now"
  >,
  run: BrokenRun,
): Promise<boolean> {
  const { upstream, sentMs, firstEventMs } = run;
  const { engineId } = upstream;
  const brokeMs = context.now();
  const isSuspect = hasJustBegun(run, brokeMs);
  if (!isSuspect && !context.abandonedRuns.has(engineId)) return false;
  const liveness = await context.livenessCheck.check(upstream);
  context.metrics.count("upstream.end_checks");
  if (liveness !== "ended") return false;
  context.abandonedRuns.take(engineId).forEach(context.quarantine.noteCrash);
  if (!isSuspect) return false;
  context.suspectedEnds.note({
    engineId,
    fields: {
      requestId: call.request.requestId,
      requestKey: call.requestKey,
      partKeys: call.partKeys,
      sinceSentMs: Math.round(brokeMs - sentMs),
      sinceFirstEventMs: firstEventMs && Math.round(brokeMs - firstEventMs),
    },
  });
  for (const report of run.crashReports) {
    context.quarantine.noteCrash({ ...report, engineId });
  }
  await context.quarantine.waitUntilReported(call);
  return true;
}
