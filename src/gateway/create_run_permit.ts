/**
 * Whether a call may be sent on, as the quarantine judges its request.
 *
 * @module
 */

import type { CallEnd } from "./create_call_end.ts";
import { getCallModel } from "./choose_call_path.ts";
import type { EngineView } from "./engine_view.ts";
import type { Call, ServingContext } from "./types.ts";

/** What a call may do now. */
export type PermitAnswer =
  | {
    readonly type: "go";
    /** Upstream where it has to begin, as the only suspect; absent if free. */
    readonly trialEngineId?: string;
  }
  /** A trial is asked for: it is to be asked again in a moment. */
  | { readonly type: "wait" }
  | HeldAnswer;

/** It can't be sent on, and may come again after a while. */
export interface HeldAnswer {
  readonly type: "held";
  /** Ms until then. */
  readonly leftMs: number;
  /** Whether it was convicted, or only had no turn to prove itself. */
  readonly reason: "held_back" | "awaits_trial";
}

/** Permits the sends of one call. */
export interface RunPermit {
  ask(options: {
    /** Upstreams that failed the call. */
    readonly excluded: ReadonlySet<string>;
  }): PermitAnswer;
  /** Notes that the call was sent to an upstream. */
  noteSent(engineId: string): void;
  /** Notes that a run has ended, and that what came of it is told. */
  noteRunEnd(): void;
}

/** Ms between two questions. */
export const PERMIT_POLL_MS = 20;

/** Ms that a call waits for a trial: others go first, each for half a second. */
const MAX_TRIAL_WAIT_MS = 1_000;

/** Share by which a hold is drawn out at random: callers don't come together. */
const SPREAD_SHARE = 0.1;

/**
 * Makes the permits of one call.
 *
 * @param call - The call.
 * @param context - The quarantine and the upstreams.
 * @returns The permits.
 * @throws Nothing.
 * @example
 * const answer = permit.ask({ excluded });
 */
export function createRunPermit(
  call: Call,
  context: ServingContext,
): RunPermit {
  const { quarantine, now, rateLimits } = context;
  const { requestKey } = call;
  let trialEngineId: string | undefined;
  let isOnTrial = false;
  let waitsSinceMs: number | undefined;

  function askForTrial(excluded: ReadonlySet<string>): PermitAnswer {
    const engineIds = listBeginners(call, context)
      .map(({ record }) => record.engineId)
      .filter((id) => !excluded.has(id) && rateLimits.hasSendLeft(id));
    // Its upstream may be gone by the time that there is room or a repeat.
    if (trialEngineId !== undefined && !engineIds.includes(trialEngineId)) {
      endTrial();
    }
    trialEngineId ??= quarantine.takeTrial({ requestKey, engineIds });
    if (trialEngineId !== undefined) {
      isOnTrial = true;
      return { type: "go", trialEngineId };
    }
    waitsSinceMs ??= now();
    return now() - waitsSinceMs < MAX_TRIAL_WAIT_MS
      ? { type: "wait" }
      : { type: "held", leftMs: MAX_TRIAL_WAIT_MS, reason: "awaits_trial" };
  }

  function endTrial(): void {
    if (isOnTrial) quarantine.endTrial(requestKey);
    isOnTrial = false;
    trialEngineId = undefined;
  }

  return {
    ask({ excluded }) {
      const verdict = quarantine.judge(requestKey);
      if (verdict.type === "held") return { ...verdict, reason: "held_back" };
      return verdict.type === "trial" ? askForTrial(excluded) : { type: "go" };
    },
    noteSent(engineId) {
      trialEngineId = undefined;
      waitsSinceMs = undefined;
      if (quarantine.isSuspect(requestKey)) {
        quarantine.noteSent({ requestKey, engineId });
      }
    },
    noteRunEnd: endTrial,
  };
}

/**
 * Lists the upstreams at which a call may begin, the least loaded first.
 *
 * @param call - The call.
 * @param context - The upstreams.
 * @returns The upstreams.
 * @throws Nothing.
 * @example
 * const [first] = listBeginners(call, context);
 */
export function listBeginners(
  call: Call,
  context: Pick<ServingContext, "engines" | "getTable">,
): EngineView[] {
  const isLayered = getCallModel(call, context) !== undefined;
  const getRequests = (one: EngineView) => one.inFlight + one.otherRequests;
  return context.engines.listUsable(call.service)
    .filter(({ record }) => !isLayered || record.layers?.fromLayer === 0)
    .sort((a, b) => getRequests(a) - getRequests(b));
}

/**
 * Ends a call that is held back: it has not run where nothing of it was sent.
 *
 * @param call - The call.
 * @param context - Where it is told, and chance.
 * @param options - The call's end, why and for how long, and whether it was sent
 * before.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * holdBack(call, context, { callEnd, held, hasRun: runs > 0 });
 */
export function holdBack(
  call: Call,
  context: Pick<ServingContext, "log" | "random">,
  options: {
    readonly callEnd: CallEnd;
    readonly held: HeldAnswer;
    readonly hasRun: boolean;
  },
): void {
  const { callEnd, hasRun } = options;
  const { leftMs, reason } = options.held;
  const { requestId } = call.request;
  const { requestKey } = call;
  const spread = 1 + SPREAD_SHARE * context.random();
  const retryAfterMs = Math.round(leftMs * spread);
  context.log("requestHeldBack", {
    requestId,
    requestKey,
    reason,
    retryAfterMs,
    hasRun,
  });
  const status = hasRun ? 502 : 503;
  callEnd.refuse({ status, reason, retryAfterMs });
}
