/**
 * Serves a call whose answer is forwarded once it is complete.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { admitCall } from "./admit_call.ts";
import { chooseEngine, estimateRunningShare } from "./choose_engine.ts";
import { createCallEnd } from "./create_call_end.ts";
import { createHeldAnswer } from "./create_held_answer.ts";
import { createRetryAfterRefusals } from "./create_retry_after_refusals.ts";
import type { EngineView } from "./engine_view.ts";
import type { Exchange, ExchangeEnd } from "./create_upstream_transport.ts";
import {
  createRunPermit,
  type HeldDecision,
  PERMIT_POLL_MS,
  refuseHeldCall,
} from "./create_run_permit.ts";
import { createAttemptCharge } from "./create_attempt_charge.ts";
import { mayHaveBeenSent } from "./may_have_been_sent.ts";
import { detectUpstreamCrash } from "./detect_upstream_crash.ts";
import { getBackOffWaitMs } from "./get_back_off_wait_ms.ts";
import { noteBackOff } from "./note_back_off.ts";
import { noteWithheld } from "./note_withheld.ts";
import type { UpstreamHead } from "./protocol.ts";
import type { SendGrant } from "./create_rate_limits.ts";
import { getLimitWaitMs } from "./get_limit_wait_ms.ts";
import { listSendableEngines } from "./list_sendable_engines.ts";
import { LEFT_OUT_CHECK_MAX_AGE_MS } from "./create_reachability.ts";
import { listUnconnected } from "./list_unconnected.ts";
import { makeCutOffRefusal } from "./make_cut_off_refusal.ts";
import {
  type ForwardedEnd,
  startForwardedExchange,
} from "./start_forwarded_exchange.ts";
import { requestGrant } from "./request_grant.ts";
import { jitterRetryAfterMs } from "./jitter_retry_after_ms.ts";
import { startCallExchange } from "./start_call_exchange.ts";
import type { CrashReport } from "../quarantine/index.ts";
import type { Call, ServingContext } from "./types.ts";

/** Maximum number of sends of one call, including the ones that an upstream rejects. */
const MAX_SENDS = 3;

/** Retry delay, in ms, given to a caller whose call no upstream accepted. */
const RETRY_AFTER_MS = 300;

/** Least silence, in ms, after which the reachability of the upstreams is checked. */
const MIN_SILENCE_MS = 200;

/** The same as a multiple of the service's mean response time. */
const SILENCE_FACTOR = 3;

/**
 * Ms without an answer from an upstream after which a call that must not be repeated
 * needs a new connection.
 */
const MAX_UNPROVEN_MS = 700;

/** Lowest HTTP status that reports a failure of the upstream itself. */
const FIRST_SERVER_ERROR = 500;

/** Ms before each send beyond the usual number, of a call that has run. */
const EXTRA_SEND_DELAY_MS = 500;

/** Result of one send. */
interface SendResult {
  readonly how: ExchangeEnd;
  readonly head: UpstreamHead | undefined;
  readonly body: Buffer;
}

/**
 * Serves a call. A call that must not run twice is sent again only if it certainly
 * did not run.
 *
 * @param call - The call.
 * @param context - The engines, the retry budget and the connections.
 * @returns A promise that resolves once the call has ended.
 * @throws Nothing.
 * @example
 * await servePlainCall(call, context);
 */
export function servePlainCall(
  call: Call,
  context: ServingContext,
): Promise<void> {
  return new Promise((resolve) => {
    const { request, response, route, service } = call;
    const { engines, now, log, metrics, reachability } = context;
    const { requestId } = request;
    const excluded = new Set<string>();
    const excludedPeers = new Set<string>();
    const payment = createAttemptCharge(() => context.budget.spend(service));
    const permit = createRunPermit(call, context);
    const resumeTicket = context.getResumeQueue(service).join();
    let sendCount = 0;
    let sendLimit = MAX_SENDS;
    let runCount = 0;
    let isAdmitted = false;
    let hasWaitedForRetry = false;
    let exchange: Exchange | undefined;
    let sentMs = 0;
    let crashReports: readonly CrashReport[] = [];
    // Resolves once it is known whether the upstream of the last run crashed.
    let endChecked = Promise.resolve();
    const callEnd = createCallEnd({
      call,
      context,
      describe: () => ({ tries: sendCount, runs: runCount }),
      wasSent: payment.wasAnySent,
      onEnd(outcome) {
        resumeTicket.leave();
        exchange?.abort(outcome);
        void endChecked.then(permit.noteRunEnd);
        resolve();
      },
      onDeadline: endAtDeadline,
    });

    const refusals = createRetryAfterRefusals(call, context, {
      callEnd,
      getProgress: () => ({ tries: sendCount, runs: runCount }),
    });

    function endAtDeadline(): void {
      // Prevents further sends; aborting the one in progress counts it as a run.
      sendLimit = 0;
      const mayRun = exchange?.isSent ?? false;
      exchange?.abort("deadline");
      // An answer may have ended whose upstream is still being checked for a crash.
      if (runCount > 0 || mayRun) {
        callEnd.refuse({ status: 504, reason: "deadline" });
      }
      callEnd.refuse({
        status: 503,
        reason: "not_taken",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }

    function next(): void {
      if (callEnd.hasEnded()) return;
      // The deadline timer does not advance while the machine is suspended.
      if (now() >= call.deadlineMs) return endAtDeadline();
      if (reachability.getSendMode(service) === "none") return forward();
      const maxTrialWaitMs = runCount > 0 ? Infinity : undefined;
      const answer = permit.request({ excluded, maxTrialWaitMs });
      if (answer.type === "held") return endHeld(answer);
      if (answer.type === "wait") return waitForPermit();
      const { trialEngineId } = answer;
      const retryAfterMs = isAdmitted ? undefined : admitCall(call, context);
      if (retryAfterMs !== undefined) {
        return refusals.refuseForBackOff(retryAfterMs);
      }
      isAdmitted = true;
      const engine = sendCount < sendLimit
        ? chooseUpstream(trialEngineId)
        : undefined;
      if (!engine && reachability.isCutOff(service)) return forward();
      if (!engine) return void giveUpUnlessCutOff();
      const { engineId } = engine.record;
      const grant = context.rateLimits.takeGrant(engineId);
      if (!grant) return void requestGrant(call, context, engineId).then(next);
      if (!payment.chargeNext()) {
        grant.release();
        return waitForRetry(waitOrGiveUp);
      }
      hasWaitedForRetry = false;
      sendCount += 1;
      send(engine, grant);
    }

    // The leader is asked to lend a retry; its answer takes a round trip.
    function waitForRetry(onDenied: () => void): void {
      if (hasWaitedForRetry) return onDenied();
      hasWaitedForRetry = true;
      void context.budget.waitForRetry(service).then((isLent) => {
        if (callEnd.hasEnded()) return;
        if (!isLent) return onDenied();
        hasWaitedForRetry = false;
        next();
      });
    }

    function endHeld(held: HeldDecision): void {
      const hasRun = runCount > 0;
      refuseHeldCall(call, context, { callEnd, held, hasRun });
    }

    function retry(): void {
      permit.noteRunEnd();
      next();
    }

    function waitForPermit(): void {
      setTimeout(next, PERMIT_POLL_MS);
    }

    // Requests suspected of crashing upstreams start on different upstreams if possible.
    function chooseUpstream(trialEngineId?: string): EngineView | undefined {
      if (trialEngineId !== undefined) {
        return chooseAmong((id) => id === trialEngineId);
      }
      const taken = context.quarantine.isSuspect(call)
        ? context.quarantine.listWithRecentSuspects(call)
        : [];
      return chooseAmong((id) => !taken.includes(id)) ?? chooseAmong();
    }

    function chooseAmong(
      isAllowed: (engineId: string) => boolean = () => true,
    ): EngineView | undefined {
      const unconnected = reachability.isCutOff(service)
        ? listUnconnected(call, context)
        : [];
      const usable = listSendableEngines(call, context)
        .filter(({ record: { engineId } }) =>
          isAllowed(engineId) && !unconnected.includes(engineId)
        );
      return chooseEngine(usable, {
        place: context.place,
        excluded,
        nowMs: now(),
        random: context.random(),
        runningShare: estimateRunningShare({
          ageMs: engines.getLoadsAgeMs(),
          usualMs: context.responseTimes.getMeanMs(service),
        }),
      });
    }

    // The upstreams can't be reached from here, so another gateway has to send the call.
    function forward(): void {
      const held = permit.getHold();
      if (held) return endHeld(held);
      const peer = request.forwardedBy === undefined && sendCount < sendLimit
        ? context.peers.choose(service, { excluded: excludedPeers })
        : undefined;
      if (!peer) return endCutOff();
      if (!payment.chargeNext()) return waitForRetry(endCutOff);
      hasWaitedForRetry = false;
      sendCount += 1;
      exchange = startForwardedExchange(call, context, {
        peer,
        lastEventId: request.lastEventId,
        onDoubt: (reason) => leaveRun(reason, { vm: peer.vm }),
        onEnd(end) {
          exchange = undefined;
          excludedPeers.add(peer.vm);
          if (!callEnd.hasEnded()) handleForwardedEnd(end);
        },
      });
    }

    function endCutOff(): void {
      if (runCount > 0) return waitOrGiveUp();
      callEnd.refuse(makeCutOffRefusal(context.random()));
    }

    function handleForwardedEnd({ meaning, head, body }: ForwardedEnd): void {
      payment.noteEnd({ wasSent: mayHaveBeenSent(meaning) });
      if (meaning.type === "notTaken") return next();
      if (meaning.type === "refused") {
        if (runCount > 0) return endCutOff();
        const { retryAfterMs = RETRY_AFTER_MS } = meaning;
        const reason = "no_upstream";
        return callEnd.refuse({ status: 503, reason, retryAfterMs });
      }
      runCount += 1;
      const isAnswered = meaning.type === "answered" && head !== undefined;
      const failed = !isAnswered || head.status >= FIRST_SERVER_ERROR;
      if (failed && mayRunAgain()) return next();
      if (isAnswered) return callEnd.forwardAnswer(head, body);
      refuseBroken();
    }

    function mayRunAgain(afterMs = 0): boolean {
      return route.repeatability !== "once" && runCount < route.maxAttempts &&
        now() + afterMs < call.deadlineMs;
    }

    function refuseBroken(): void {
      const isLate = now() >= call.deadlineMs;
      callEnd.refuse(
        isLate
          ? { status: 504, reason: "deadline" }
          : { status: 502, reason: "answer_broken" },
      );
    }

    // Upstreams that were left out before a partition was found give no further sign
    // of it.
    async function giveUpUnlessCutOff(): Promise<void> {
      if (engines.countLeftOut(service).leftOut === 0) return waitOrGiveUp();
      const maxAgeMs = LEFT_OUT_CHECK_MAX_AGE_MS;
      const isReachable = await reachability.check(service, { maxAgeMs });
      if (callEnd.hasEnded()) return;
      if (!isReachable) return forward();
      const isReadmitted = await context.leftOutChecks.check(service);
      if (callEnd.hasEnded()) return;
      if (!isReadmitted) return waitOrGiveUp();
      excluded.clear();
      next();
    }

    // A call that has run and may run again loses nothing by waiting; ending it would
    // only say that its outcome is unknown.
    function waitOrGiveUp(): void {
      const backOffLeftMs = getBackOffLeftMs() ?? 0;
      if (runCount === 0 || !mayRunAgain(backOffLeftMs)) return giveUp();
      excluded.clear();
      excludedPeers.clear();
      if (sendCount < sendLimit) return resumeTicket.wait({ onTurn: next });
      sendLimit += 1;
      setTimeout(next, EXTRA_SEND_DELAY_MS);
    }

    function getBackOffLeftMs(): number | undefined {
      const { notices } = context;
      return getBackOffWaitMs({ engines, notices, service });
    }

    function giveUp(): void {
      if (runCount > 0) {
        return callEnd.refuse({ status: 502, reason: "outcome_unknown" });
      }
      const backOffLeftMs = getBackOffLeftMs();
      if (backOffLeftMs !== undefined) {
        const waitMs = jitterRetryAfterMs(backOffLeftMs, context.random());
        return refusals.refuseForBackOff(waitMs);
      }
      const leftMs = getLimitWaitMs(call, context);
      if (leftMs !== undefined) return refusals.refuseForLimit(leftMs);
      callEnd.refuse({
        status: 503,
        reason: "no_upstream",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }

    function send(engine: EngineView, grant: SendGrant): void {
      const { engineId } = engine.record;
      let head: UpstreamHead | undefined;
      engine.inFlight += 1;
      crashReports = permit.noteSent(engineId);
      const { requestKey } = call;
      const backOffLeftMs = Math.round(
        context.notices.getBackOffLeftMs(engineId),
      );
      log("callSent", {
        requestId,
        requestKey,
        partKeys: call.partKeys,
        engineId,
        backOffLeftMs,
        limitPerS: context.rateLimits.getLimitPerS(engineId),
        tries: sendCount,
        runs: runCount,
        paidBy: payment.getPayer(),
        budget: context.budget.describe(service),
      });
      sentMs = now();
      // A connection that was silent for a while may be dead, and this call would be
      // lost in it. A new one shows that the upstream can be reached.
      if (
        route.repeatability === "once" &&
        reachability.getSendMode(service) === "any"
      ) context.upstreamTransport.closeSilent(engineId, MAX_UNPROVEN_MS);
      const stopWatching = watchSilence();
      const answer = createHeldAnswer(context.heldBytes, {
        upstreamId: engineId,
        pause: () => started.pause(),
        resume: () => started.resume(),
      });
      const started = startCallExchange(call, context, {
        engine: engine.record,
        path: [],
        grant,
        lastEventId: request.lastEventId,
        onHead: (receivedHead) => {
          head = receivedHead;
        },
        onData: answer.push,
        onEnd: (how) => {
          engine.inFlight -= 1;
          exchange = undefined;
          stopWatching();
          if (!callEnd.hasEnded()) {
            handleResult(engine, { how, head, body: answer.end() });
          }
          answer.releaseWith(response);
        },
      });
      exchange = started;
    }

    // A request in a connection that fell silent has no other sign of a partition.
    function watchSilence(): () => void {
      const usualMs = context.responseTimes.getMeanMs(service) ?? 0;
      let waitMs = Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * usualMs);
      let isAnswered = false;
      let timer = setTimeout(checkReachability, waitMs);

      async function checkReachability(): Promise<void> {
        waitMs *= 2;
        timer = setTimeout(checkReachability, waitMs);
        // Other answers show that the upstreams can be reached.
        if (reachability.getSilenceMs(service) < MIN_SILENCE_MS) return;
        await reachability.check(service);
        if (isAnswered || reachability.getSendMode(service) !== "none") return;
        leaveRun("cut off");
      }

      return () => {
        isAnswered = true;
        clearTimeout(timer);
      };
    }

    // What a run that is left would have answered is lost, so another one has to be
    // possible and paid for.
    function leaveRun(reason: string, { vm }: { vm?: string } = {}): void {
      const left = exchange;
      if (!left || !mayRunAgainAfterThis() || !hasOtherWay(vm)) return;
      if (payment.chargeAhead()) return left.abort(reason);
      void context.budget.waitForRetry(service).then((isLent) => {
        if (isLent && exchange === left) leaveRun(reason, { vm });
      });
    }

    function hasOtherWay(vm?: string): boolean {
      if (reachability.getSendMode(service) !== "none") {
        return chooseUpstream() !== undefined;
      }
      const excludedVms = new Set([...excludedPeers, ...(vm ? [vm] : [])]);
      return request.forwardedBy === undefined && sendCount < sendLimit &&
        context.peers.choose(service, { excluded: excludedVms }) !== undefined;
    }

    function mayRunAgainAfterThis(): boolean {
      return route.repeatability !== "once" &&
        runCount + 1 < route.maxAttempts;
    }

    function handleResult(
      engine: EngineView,
      { how, head, body }: SendResult,
    ): void {
      const { engineId } = engine.record;
      if (how.type === "withheld") return handleWithheld(engineId);
      payment.noteEnd({ wasSent: how.type !== "notSent" });
      excluded.add(engineId);
      if (how.type === "notSent") {
        metrics.countRetry("connect_failed");
        engines.suspect(engineId, how.reason, { isUnanswered: true });
        log("connectionFailed", {
          requestId,
          engineId,
          reason: how.reason,
          tookMs: Math.round(now() - sentMs),
        });
        return void reachability.check(service).then(retry);
      }
      if (head?.load !== undefined) engine.reportedLoad = head.load;
      if (how.type === "complete" && head?.reportsNotRun) {
        metrics.countRetry("upstream_refused");
        const { status, backOffMs } = head;
        const tookMs = Math.round(now() - sentMs);
        log("callNotRun", {
          requestId,
          faulty: engineId,
          status,
          tookMs,
          backOffMs,
        });
        if (status === 421) engines.suspect(engineId, "misdirected request");
        if (backOffMs !== undefined) noteBackOff(call, context);
        return retry();
      }
      runCount += 1;
      const tookMs = now() - sentMs;
      context.responseTimes.noteAnswer(service, { tookMs });
      const isComplete = how.type === "complete" && head !== undefined &&
        (head.isSigned || head.status >= 300);
      const failed = !isComplete || head.status >= FIRST_SERVER_ERROR;
      engines.noteAnswer(engineId, { failed });
      if (how.type === "broken") engines.suspect(engineId, how.reason);
      else noteProved();
      endChecked = checkUpstreamEnd(engine, how);
      if (failed && mayRunAgain()) {
        const wasBroken = how.type === "broken";
        metrics.countRetry(
          wasBroken ? "reset_before_answer" : "upstream_error",
        );
        return void endChecked.then(retry);
      }
      if (isComplete) {
        context.throttle.noteServed(service);
        return callEnd.forwardAnswer(head, body);
      }
      refuseBroken();
    }

    function handleWithheld(engineId: string): void {
      sendCount -= 1;
      noteWithheld(call, context, engineId);
      retry();
    }

    function noteProved(): void {
      context.quarantine.noteProved(call.requestKey);
      context.quarantine.notePartsProved(call.partKeys, sentMs);
    }

    async function checkUpstreamEnd(
      { record: upstream }: EngineView,
      how: ExchangeEnd,
    ): Promise<void> {
      if (how.type !== "broken") return;
      const run = { upstream, sentMs, firstEventMs: undefined, crashReports };
      await detectUpstreamCrash(call, context, run);
    }

    next();
  });
}
