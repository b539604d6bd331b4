/**
 * Decides from the quarantine verdict on a request whether its call may be sent.
 *
 * @module
 */

import type { CrashReport } from "../quarantine/index.ts";
import type { CallEnd } from "./create_call_end.ts";
import type { QuarantineVerdict } from "./create_quarantine.ts";
import { listFirstUpstreams } from "./list_first_upstreams.ts";
import type { Call, ServingContext } from "./types.ts";

/** Whether a call may be sent now. */
export type PermitDecision =
  | {
    readonly type: "go";
    /** Upstream of the trial, where it runs as the only suspect; absent if free. */
    readonly trialEngineId?: string;
  }
  /** A trial has been requested: check again after PERMIT_POLL_MS. */
  | { readonly type: "wait" }
  | HeldDecision;

/** The call is held back, and may be retried later. */
export interface HeldDecision {
  readonly type: "held";
  /** Ms until it may be retried. */
  readonly leftMs: number;
  /** Whether its request was convicted, or got no trial in time. */
  readonly reason: "held_back" | "awaits_trial";
  /** Key of the request, or of the part of its prompt, that is suspected. */
  readonly suspectKey: string;
}

/** Decides on each send of one call. */
export interface RunPermit {
  request(options: {
    /** Upstreams that failed the call. */
    readonly excluded: ReadonlySet<string>;
    /** Longest wait, in ms, for a trial; `MAX_TRIAL_WAIT_MS` by default. */
    readonly maxTrialWaitMs?: number;
  }): PermitDecision;
  /** Why the call may not be sent, if it is held back. */
  getHold(): HeldDecision | undefined;
  /**
   * Records that the call was sent to an upstream; returns what to report if the
   * upstream crashes just after it has begun the call.
   */
  noteSent(engineId: string): readonly CrashReport[];
  /** Records that a run has ended and its result was reported. */
  noteRunEnd(): void;
}

/** Interval, in ms, between two checks of a call that waits for a trial. */
export const PERMIT_POLL_MS = 20;

/** Longest wait, in ms, for a trial: earlier trials take half a second each. */
const MAX_TRIAL_WAIT_MS = 1_000;

/** Share by which a hold is randomly extended, so that callers don't retry together. */
const JITTER_SHARE = 0.1;

/**
 * Creates the permit of one call.
 *
 * @param call - The call.
 * @param context - The quarantine and the upstreams.
 * @returns The permit.
 * @throws Nothing.
 * @example
 * const decision = permit.request({ excluded });
 */
export function createRunPermit(
  call: Call,
  context: ServingContext,
): RunPermit {
  const { quarantine, now, rateLimits } = context;
  let trialEngineId: string | undefined;
  // The first suspect of the trial that runs or was granted.
  let trialKey: string | undefined;
  let waitingSinceMs: number | undefined;

  function requestTrial(
    { requestKey, alsoSuspect }: QuarantineVerdict & { type: "trial" },
    excluded: ReadonlySet<string>,
    maxWaitMs: number,
  ): PermitDecision {
    const engineIds = listFirstUpstreams(call, context)
      .map(({ record }) => record.engineId)
      .filter((id) => !excluded.has(id) && rateLimits.maySend(id));
    // The upstream may have departed while the call waited for capacity or a retry.
    if (trialEngineId !== undefined && !engineIds.includes(trialEngineId)) {
      endTrial();
    }
    if (trialEngineId === undefined) {
      trialEngineId = quarantine.takeTrial({
        requestKey,
        engineIds,
        ...(alsoSuspect ? { alsoSuspect } : {}),
      });
      if (trialEngineId !== undefined) trialKey = requestKey;
    }
    if (trialEngineId !== undefined) return { type: "go", trialEngineId };
    waitingSinceMs ??= now();
    return now() - waitingSinceMs < maxWaitMs ? { type: "wait" } : {
      type: "held",
      leftMs: MAX_TRIAL_WAIT_MS,
      reason: "awaits_trial",
      suspectKey: requestKey,
    };
  }

  function endTrial(): void {
    if (trialKey !== undefined) quarantine.endTrial(trialKey);
    trialKey = undefined;
    trialEngineId = undefined;
  }

  function getHold(): HeldDecision | undefined {
    const verdict = quarantine.judge(call);
    return verdict.type === "held"
      ? { ...verdict, reason: "held_back" }
      : undefined;
  }

  return {
    getHold,
    request({ excluded, maxTrialWaitMs = MAX_TRIAL_WAIT_MS }) {
      const verdict = quarantine.judge(call);
      if (verdict.type === "held") return { ...verdict, reason: "held_back" };
      return verdict.type === "trial"
        ? requestTrial(verdict, excluded, maxTrialWaitMs)
        : { type: "go" };
    },
    noteSent(engineId) {
      trialEngineId = undefined;
      waitingSinceMs = undefined;
      return quarantine.noteSent(call, engineId);
    },
    noteRunEnd: endTrial,
  };
}

/**
 * Refuses a call that is held back: 503 if nothing of it was sent, otherwise 502.
 *
 * @param call - The call.
 * @param context - The log and the source of randomness.
 * @param options - The end of the call, why and for how long it is held, and whether
 * it was sent before.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * refuseHeldCall(call, context, { callEnd, held, hasRun: runs > 0 });
 */
export function refuseHeldCall(
  call: Call,
  context: Pick<ServingContext, "log" | "random">,
  options: {
    readonly callEnd: CallEnd;
    readonly held: HeldDecision;
    readonly hasRun: boolean;
  },
): void {
  const { callEnd, hasRun } = options;
  const { leftMs, reason, suspectKey } = options.held;
  const { requestId } = call.request;
  const { requestKey } = call;
  const jitter = 1 + JITTER_SHARE * context.random();
  const retryAfterMs = Math.round(leftMs * jitter);
  context.log("requestHeldBack", {
    requestId,
    requestKey,
    suspectKey,
    reason,
    retryAfterMs,
    hasRun,
  });
  const status = hasRun ? 502 : 503;
  callEnd.refuse({ status, reason, retryAfterMs });
}
