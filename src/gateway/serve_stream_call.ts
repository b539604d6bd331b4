/**
 * Serves a call whose answer is a stream of events.
 *
 * @module
 */

import { admitCall } from "./admit_call.ts";
import { createRankAdmission } from "./create_rank_admission.ts";
import { getCallTokens } from "./choose_call_path.ts";
import { getCallModel } from "./get_call_model.ts";
import { chooseRunPath } from "./choose_run_path.ts";
import { createCallEnd } from "./create_call_end.ts";
import { createRetryAfterRefusals } from "./create_retry_after_refusals.ts";
import { createCapacityRefusal } from "./create_capacity_refusal.ts";
import { createCapacityWait } from "./create_capacity_wait.ts";
import {
  createRunPermit,
  type HeldDecision,
  PERMIT_POLL_MS,
  refuseHeldCall,
} from "./create_run_permit.ts";
import {
  createStreamRuns,
  isForwarded,
  type OpenRun,
} from "./create_stream_runs.ts";
import { createRunMigrator } from "./create_run_migrator.ts";
import { REFUSES_CONNECTIONS } from "./create_run_monitor.ts";
import { createStrandedRuns } from "./create_stranded_runs.ts";
import { createSendWaits } from "./create_send_waits.ts";
import { createAttemptCharge } from "./create_attempt_charge.ts";
import { mayHaveBeenSent } from "./may_have_been_sent.ts";
import type { ExchangeEnd } from "./create_upstream_transport.ts";
import { LEFT_OUT_CHECK_MAX_AGE_MS } from "./create_reachability.ts";
import { listUnconnected } from "./list_unconnected.ts";
import { makeCutOffRefusal } from "./make_cut_off_refusal.ts";
import {
  type ForwardedRun,
  type ForwardedStreamEnd,
  isStream,
  startForwardedStream,
} from "./start_forwarded_stream.ts";
import { createStreamRelay } from "./create_stream_relay.ts";
import type { CrashReport } from "../quarantine/index.ts";
import {
  arePartsProved,
  detectUpstreamCrash,
  hasJustBegun,
  isProved,
} from "./detect_upstream_crash.ts";
import { noteWithheld } from "./note_withheld.ts";
import type { AddressedPart, UpstreamHead } from "./protocol.ts";
import type { StreamEvent } from "./split_events.ts";
import type { SendGrant } from "./create_rate_limits.ts";
import { requestGrant } from "./request_grant.ts";
import { jitterRetryAfterMs } from "./jitter_retry_after_ms.ts";
import {
  startStreamRun,
  type StreamRun,
  type StreamRunEnd,
} from "./start_stream_run.ts";
import { handleRefusal } from "./handle_refusal.ts";
import type { Call, ServingContext } from "./types.ts";

/** Silence, in ms, after which a run is taken for broken when a partition is found. */
const CUT_OFF_SILENCE_MS = 150;

/**
 * Number of sends of one call, including the ones that an upstream rejects, from which
 * on a new request is refused, and one that has run is sent only after a delay.
 */
const MAX_SENDS = 5;

/** Reason for which a run is ended once another one of its call goes on. */
const ANOTHER_RUN_GOES_ON = "another run goes on";

/** Retry delay, in ms, given to a caller whose call no upstream accepted. */
const RETRY_AFTER_MS = 500;

/**
 * Serves a call: forwards complete events as they arrive, moves the path off
 * stalled engines, and resumes the stream on other engines when it breaks.
 *
 * @param call - The call.
 * @param context - The engines, the retry budget and the connections.
 * @returns A promise that resolves once the call has ended.
 * @throws Nothing.
 * @example
 * await serveStreamCall(call, context);
 */
export function serveStreamCall(
  call: Call,
  context: ServingContext,
): Promise<void> {
  return new Promise((resolve) => {
    const { request, response, route, service } = call;
    const { engines, now, log, metrics } = context;
    const { requestId } = request;
    const model = getCallModel(call, context);
    const isResumable = route.repeatability === "resumable";
    const excluded = new Set<string>();
    const payment = createAttemptCharge(() => context.budget.spend(service));
    let sendCount = 0;
    let sendLimit = MAX_SENDS;
    let isAdmitted = request.lastEventId !== undefined;
    let isRunProved = false;
    const crashReports = new Map<StreamRun, readonly CrashReport[]>();
    // The run that last proved the parts of the prompt harmless.
    let partsProof: StreamRun | undefined;
    // Resolves once it is known whether the upstream of the last run crashed.
    let endChecked = Promise.resolve();
    const runs = createStreamRuns(call, context);
    const excludedPeers = new Set<string>();
    // Runs that wait until the caller has read what was sent.
    const pausedRuns = new Set<OpenRun>();
    const searchResults: Record<string, number> = {};
    // Why no upstream was found; CL1804 is dropped where there are many log lines.
    let givenUp: Readonly<Record<string, unknown>> = {};

    const tokens = getCallTokens(call, model);
    const admission = createRankAdmission(call, context);
    const relay = createStreamRelay({
      response,
      lastEventId: request.lastEventId,
      onPause: (pauseMs) =>
        context.pauseTracker.recordPause({
          pauseMs,
          toleratedMs: route.gapObjectiveMs,
          path: runs.getCurrent()?.path ?? [],
        }),
      onFirstEvent: () =>
        metrics.timing("requests.first_token_ms", now() - call.startedMs),
      now,
    });
    let stopMonitoring = () => {};
    const capacityWait = createCapacityWait(call, context, {
      isExempt: admission.isExempt,
    });
    const permit = createRunPermit(call, context);
    const waits = createSendWaits({
      capacityWait,
      relay,
      resumeQueue: context.getResumeQueue(service),
      hasRun,
      waitForRetry: () => context.budget.waitForRetry(service),
      deadlineMs: call.deadlineMs,
      now,
      onCheck: next,
      onGiveUp: giveUp,
    });
    const callEnd = createCallEnd({
      call,
      context,
      describe,
      wasSent: payment.wasAnySent,
      onEnd(outcome) {
        stopMonitoring();
        capacityWait.end();
        waits.end();
        endRuns(runs.listOpen(), outcome);
        stopListening();
        stopHeldListening();
        void endChecked.then(permit.noteRunEnd);
        resolve();
      },
      onDeadline: endAtDeadline,
    });

    const refusals = createRetryAfterRefusals(call, context, {
      callEnd,
      getProgress: () => ({ tries: sendCount, runs: runs.getCount() }),
    });
    const migrator = createRunMigrator(call, context, {
      relay,
      excluded,
      isCurrent: (sent) => runs.getCurrent() === sent && !callEnd.hasEnded(),
      onStranded: (sent, failure) => stranded.handle(sent, failure),
    });
    const stranded = createStrandedRuns<OpenRun>(call, context, {
      runs,
      runRecord: runs.record,
      hasCallEnded: callEnd.hasEnded,
      getSilenceMs: relay.getSilenceMs,
      mayRunAgain: runs.mayRunAgain,
      onRun: runs.note,
      onSetAside: lookElsewhere,
      onEngineEnded(run, failure) {
        if (!isForwarded(run)) void migrator.leaveFailedEngine(run, failure);
      },
    });

    // Runs that broke off are resumed elsewhere as soon as the cause is known.
    const stopListening = context.reachability.onCutOff(service, () => {
      if (!isResumable || relay.getSilenceMs() < CUT_OFF_SILENCE_MS) return;
      const run = runs.getCurrent();
      if (!run || isForwarded(run)) return;
      const [{ engineId }] = run.path;
      stranded.handle(run, { engineId, reason: "cut off" });
    });

    // An upstream that has not begun the run yet is spared by closing its connection.
    const stopHeldListening = context.quarantine.onHeld(call, () => {
      const run = runs.getCurrent();
      if (!run || isForwarded(run) || run.hasBegun) return;
      const held = permit.getHold();
      if (held) refuseHeldCall(call, context, { callEnd, held, hasRun: true });
    });

    function hasRun(): boolean {
      return response.headersSent || runs.getCount() > 0;
    }

    function endRuns(ended: readonly OpenRun[], reason: string): void {
      for (const run of ended) {
        if (run.isSent) runs.note(run);
        if (!isForwarded(run)) recordAbandonedRun(run);
        run.abort(reason);
      }
    }

    function describe() {
      const { events, firstEventMs, longestPauseMs } = relay.getProgress();
      return {
        tries: sendCount,
        runs: runs.getCount(),
        events,
        firstEventMs: firstEventMs && Math.round(firstEventMs - call.startedMs),
        longestGapMs: Math.round(longestPauseMs),
        ...givenUp,
      };
    }

    function endAtDeadline(): void {
      // A request that was sent may be running even if no answer has started.
      const mayHaveRun = runs.getCount() > 0 ||
        runs.getCurrent() !== undefined;
      if (mayHaveRun) {
        return callEnd.refuse({ status: 504, reason: "deadline" });
      }
      callEnd.refuse({
        status: 503,
        reason: "not_taken",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }

    function next(): void {
      if (callEnd.hasEnded()) return;
      // A run that was set aside has gone on in the meantime.
      if (runs.getCurrent()) return;
      // The deadline timer does not advance while the machine is suspended.
      if (now() >= call.deadlineMs) return endAtDeadline();
      if (sendCount >= sendLimit) return waitForExtraSend();
      const sendMode = context.reachability.getSendMode(service);
      if (sendMode === "none") return forward();
      // A trial is decided soon; until then nothing is known against a stream that ran.
      const maxTrialWaitMs = hasRun() ? Infinity : undefined;
      const answer = permit.request({ excluded, maxTrialWaitMs });
      if (answer.type === "held") return endHeld(answer);
      if (answer.type === "wait") return void setTimeout(next, PERMIT_POLL_MS);
      const retryAfterMs = isAdmitted ? undefined : admitCall(call, context);
      if (retryAfterMs !== undefined) {
        return refusals.refuseForBackOff(retryAfterMs);
      }
      isAdmitted = true;
      const isNew = runs.getCount() === 0 && request.lastEventId === undefined;
      if (isNew && !capacityWait.isFirst()) return waits.waitForCapacity();
      const choice = chooseRunPath(call, context, {
        excluded: new Set([
          ...excluded,
          ...runs.listSpentEngines(),
          ...(sendMode === "any" ? [] : listUnconnected(call, context)),
        ]),
        trialEngineId: answer.trialEngineId,
        need: { tokens, isNew, maxShare: admission.maxShare },
      });
      searchResults[choice.type] = (searchResults[choice.type] ?? 0) + 1;
      if (choice.type === "full" && isNew) admission.noteFull();
      if (choice.type !== "path") {
        void context.leftOutChecks.check(service);
        void stranded.check();
      }
      if (choice.type === "full" && sendMode !== "any") return forward();
      if (choice.type === "full" && isNew) return waits.waitForCapacity();
      if (choice.type === "resting") return waitForBackOff(choice.leftMs);
      if (choice.type === "limited") return waitForLimit(choice.leftMs);
      if (choice.type !== "path") {
        return sendMode === "any" ? waitForPath(choice) : forward();
      }
      const { path } = choice;
      const [{ engineId }] = path;
      const grant = context.rateLimits.takeGrant(engineId);
      if (!grant) return void requestGrant(call, context, engineId).then(next);
      if (!payment.chargeNext()) {
        grant.release();
        return waits.waitForRetryBudget();
      }
      waits.noteSent();
      sendCount += 1;
      send(path, grant);
    }

    function waitForExtraSend(): void {
      sendLimit += 1;
      waits.waitForExtraSend();
    }

    // The upstreams can't be reached from here, so another gateway has to send the call.
    function forward(): void {
      const held = permit.getHold();
      if (held) return endHeld(held);
      capacityWait.end();
      const isAllowed = runs.record.mayRunElsewhere();
      const peer = request.forwardedBy === undefined && isAllowed
        ? context.peers.choose(service, { excluded: excludedPeers })
        : undefined;
      if (!peer) return endCutOff();
      if (!payment.chargeNext()) return waits.waitForRetryBudget();
      waits.noteSent();
      sendCount += 1;
      stopMonitoring();
      relay.restartSilence();
      runs.add(startForwardedStream(call, context, {
        peer,
        lastEventId: relay.getProgress().lastEventId,
        getSilenceMs: relay.getSilenceMs,
        onHead: (head) => handleHead({ head, isStream: isStream(head) }),
        onEvent: passOn,
        onDoubt(run, reason) {
          if (!isResumable || runs.getCurrent() !== run) return;
          excludedPeers.add(run.vm);
          stranded.handle(run, { engineId: run.vm, reason });
        },
        onEnd(run, end) {
          if (callEnd.hasEnded() || !runs.isOpen(run)) return;
          const wasCurrent = runs.remove(run);
          handleForwardedEnd(run, { ...end, wasCurrent });
        },
      }));
    }

    function passOn(run: OpenRun, event: StreamEvent): void {
      if (callEnd.hasEnded() || !runs.isOpen(run)) return;
      if (event.isIgnored) {
        if (runs.getCurrent() !== run) return;
      } else if (relay.isNew(event)) noteProgress(run);
      if (relay.forward(event) || pausedRuns.has(run)) return;
      pausedRuns.add(run);
      run.pause();
      response.once("drain", () => {
        pausedRuns.delete(run);
        run.resume();
      });
    }

    function endCutOff(): void {
      if (hasRun()) {
        return waits.waitForPath({ onWait: () => excludedPeers.clear() });
      }
      callEnd.refuse(makeCutOffRefusal(context.random()));
    }

    function handleForwardedEnd(
      run: ForwardedRun,
      end: ForwardedStreamEnd & {
        /** Whether it served the call, rather than having been set aside. */
        readonly wasCurrent: boolean;
      },
    ): void {
      const { meaning, head, wasCurrent } = end;
      excludedPeers.add(run.vm);
      if (meaning.type === "answered" && isStream(head) && !end.isCut) {
        runs.note(run);
        response.end();
        return callEnd.end("answered");
      }
      if (!wasCurrent) return;
      payment.noteEnd({ wasSent: mayHaveBeenSent(meaning) });
      if (meaning.type === "notTaken") return next();
      if (meaning.type === "refused") {
        if (hasRun()) return endCutOff();
        const { retryAfterMs } = meaning;
        return callEnd.refuse({
          status: 503,
          reason: "no_upstream",
          retryAfterMs: retryAfterMs ?? RETRY_AFTER_MS,
        });
      }
      runs.note(run);
      relay.restartSilence();
      if (!isResumable || !runs.mayRunAgain()) {
        if (!returnToSetAside()) failBroken({ head }, end);
        return;
      }
      metrics.count("streams.resumed");
      next();
    }

    // What has run elsewhere in vain leaves the runs that are still open.
    function returnToSetAside(): boolean {
      const run = runs.listSetAside().at(-1);
      if (!run) return false;
      runs.remove(run);
      runs.add(run);
      waits.noteSent();
      if (!isForwarded(run)) monitor(run);
      return true;
    }

    function lookElsewhere(): void {
      stopMonitoring();
      payment.noteEnd({ wasSent: true });
      metrics.count("streams.resumed");
      void context.reachability.check(service).then(retry);
    }

    // The first run to go on serves the call from then on.
    function noteProgress(run: OpenRun): void {
      stranded.noteProgress(run);
      if (runs.isAlone(run)) return;
      const wasCurrent = runs.getCurrent() === run;
      endRuns(runs.resume(run), ANOTHER_RUN_GOES_ON);
      if (wasCurrent) return;
      stopMonitoring();
      waits.noteSent();
      if (!isForwarded(run)) monitor(run);
    }

    // Engines that were excluded for this call may be usable again after the wait.
    function waitForPath(
      { isLinkDenied }: { readonly isLinkDenied?: boolean },
    ): void {
      // Upstreams that were left out before a partition was found give no further sign
      // of it.
      const maxAgeMs = LEFT_OUT_CHECK_MAX_AGE_MS;
      void context.reachability.check(service, { maxAgeMs });
      waits.waitForPath({ onWait: () => excluded.clear(), isLinkDenied });
    }

    // No engine can accept the call before the first back-off ends. A caller that has
    // received nothing yet is rejected at once instead of being kept waiting.
    function waitForBackOff(leftMs: number): void {
      if (hasRun()) return waitUntilUsable(leftMs);
      refusals.refuseForBackOff(jitterRetryAfterMs(leftMs, context.random()));
    }

    function waitForLimit(leftMs: number): void {
      if (hasRun()) return waitUntilUsable(leftMs);
      refusals.refuseForLimit(leftMs);
    }

    function waitUntilUsable(leftMs: number): void {
      const onWait = () => excluded.clear();
      waits.waitForPath({ onWait, leftMs });
    }

    function retry(): void {
      permit.noteRunEnd();
      next();
    }

    function endHeld(held: HeldDecision): void {
      refuseHeldCall(call, context, { callEnd, held, hasRun: hasRun() });
    }

    function giveUp(reason: string): void {
      if (returnToSetAside()) return;
      const refusal = hasRun()
        ? { status: 502, reason: "outcome_unknown" } as const
        : createCapacityRefusal(call, context, {
          isFull: reason === "full",
          tokens,
        });
      givenUp = {
        cause: reason,
        retryAfterMs: refusal.retryAfterMs,
        ...capacityWait.describe(),
      };
      log("callGivenUp", {
        requestId,
        reason,
        refusal: refusal.reason,
        tries: sendCount,
        runs: runs.getCount(),
        searchResults,
        ...givenUp,
        ...engines.countLeftOut(service),
      });
      callEnd.refuse(refusal);
    }

    function send(path: readonly AddressedPart[], grant: SendGrant): void {
      capacityWait.admit();
      const { lastEventId } = relay.getProgress();
      log("callSent", {
        requestId,
        requestKey: call.requestKey,
        partKeys: call.partKeys,
        engineId: path[0].engineId,
        path: path.map((part) => `${part.engineId}:${part.toLayer}`).join(),
        backOffLeftMs: getBackOffLeftMs(path),
        limitPerS: context.rateLimits.getLimitPerS(path[0].engineId),
        tries: sendCount,
        paidBy: payment.getPayer(),
        budget: context.budget.describe(service),
        lastEventId,
      });
      relay.restartSilence();
      const reports = permit.noteSent(path[0].engineId);
      const run = startStreamRun(call, context, {
        path,
        isLayered: model !== undefined,
        grant,
        tokens,
        lastEventId,
        onHead: handleHead,
        onEvent(sent, event) {
          recordProof(sent);
          passOn(sent, event);
        },
        onEnd(sent, end) {
          if (runs.getCurrent() === sent) stopMonitoring();
          if (callEnd.hasEnded() || !runs.isOpen(sent)) return;
          const wasCurrent = runs.remove(sent);
          handleRunEnd(sent, { ...end, wasCurrent });
        },
      });
      crashReports.set(run, reports);
      runs.add(run);
      monitor(run);
    }

    // The longest remaining back-off of the engines on the path.
    function getBackOffLeftMs(path: readonly AddressedPart[]): number {
      const backOffsLeftMs = path.map(({ engineId }) =>
        context.notices.getBackOffLeftMs(engineId)
      );
      return Math.round(Math.max(...backOffsLeftMs));
    }

    // The request may already have crashed its engine without this gateway knowing yet.
    function recordAbandonedRun(run: StreamRun): void {
      if (!hasJustBegun(run, now())) return;
      const { engineId } = run.path[0];
      for (const report of crashReports.get(run) ?? []) {
        context.abandonedRuns.note({ ...report, engineId });
      }
    }

    function recordProof(sent: StreamRun): void {
      if (partsProof !== sent && arePartsProved(sent, now())) {
        partsProof = sent;
        notePartsProved(sent);
      }
      if (isRunProved || !isProved(sent, now())) return;
      isRunProved = true;
      context.quarantine.noteProved(call.requestKey);
    }

    function notePartsProved({ firstEventMs }: StreamRun): void {
      if (firstEventMs === undefined) return;
      context.quarantine.notePartsProved(call.partKeys, firstEventMs);
    }

    function monitor(sent: StreamRun): void {
      stopMonitoring();
      // Only a resumable stream can be moved off an engine.
      if (!isResumable) return;
      stopMonitoring = context.runMonitor.add({
        isLayered: model !== undefined,
        getPath: () => sent.path,
        hasBegun: () => sent.hasBegun,
        getSilenceMs: relay.getSilenceMs,
        getUsualPauseMs: relay.getUsualPauseMs,
        checkStall() {
          if (stranded.mayCheckStall(sent)) migrator.checkStall(sent);
          void stranded.check();
        },
        checkLeaving: () => migrator.checkLeaving(sent),
        leave: (engineId, reason, { isConfirmed } = {}) =>
          void migrator.leaveFailedEngine(sent, {
            engineId,
            reason,
            isConfirmed,
            hasEnded: reason === REFUSES_CONNECTIONS,
          }),
      });
    }

    function handleHead(
      { head, isStream }: Pick<StreamRun, "head" | "isStream">,
    ): void {
      if (!head || !isStream || response.headersSent) return;
      if (callEnd.hasEnded()) return;
      response.writeHead(200, [
        ...head.headers,
        ...(context.isLeaving() ? ["connection", "close"] : []),
      ]);
      response.flushHeaders();
    }

    function handleRunEnd(
      sent: StreamRun,
      { how, isCut, body, wasCurrent }: StreamRunEnd & {
        /** Whether it served the call, rather than having been set aside. */
        readonly wasCurrent: boolean;
      },
    ): void {
      const [{ engineId }] = sent.path;
      const { head } = sent;
      const faultyEngineId = sent.failedEngineId ?? engineId;
      if (how.type === "withheld") return handleWithheld(engineId);
      if (wasCurrent) payment.noteEnd({ wasSent: how.type !== "notSent" });
      if (how.type === "notSent") {
        metrics.countRetry("connect_failed");
        engines.suspect(faultyEngineId, how.reason, { isUnanswered: true });
        log("connectionFailed", {
          requestId,
          engineId: faultyEngineId,
          reason: how.reason,
          tookMs: Math.round(now() - sent.sentMs),
        });
        return void context.reachability.check(service).then(retry);
      }
      if (how.type === "complete" && head?.reportsNotRun) {
        return handleNotRun(sent, { head, wasCurrent });
      }
      runs.note(sent);
      const isComplete = how.type === "complete" && sent.isStream && !isCut;
      engines.noteAnswer(faultyEngineId, { failed: !isComplete });
      if (isComplete) {
        context.endRate.noteEnd({ tookMs: now() - call.startedMs });
        context.rates.noteEnded(service);
        context.throttle.noteServed(service);
        context.quarantine.noteProved(call.requestKey);
        notePartsProved(sent);
        response.end();
        return callEnd.end("answered");
      }
      if (!sent.wasAborted) runs.record.noteBroken(sent.path[0]);
      handleBroken(sent, how);
      const checked = checkUpstreamEnd(sent, how);
      endChecked = Promise.all([endChecked, checked]).then(() => {});
      if (!wasCurrent) return;
      if (isResumable) void resumeElsewhere(sent, { how, body });
      else failBroken(sent, { how, body });
    }

    // An upstream that has crashed does not count against maxAttempts. A broken
    // connection proves no crash, nor does an upstream that left without draining.
    async function resumeElsewhere(
      sent: StreamRun,
      end: Pick<StreamRunEnd, "how" | "body">,
    ): Promise<void> {
      await endChecked;
      // A second run would break off for the same reason.
      await context.reachability.check(service);
      if (!runs.record.mayRunElsewhere()) await runs.record.detectCrashes();
      if (callEnd.hasEnded() || runs.getCurrent()) return;
      if (runs.mayRunAgain()) {
        metrics.count("streams.resumed");
        return retry();
      }
      if (returnToSetAside()) return;
      log("runsSpent", {
        requestId,
        maxAttempts: route.maxAttempts,
        ranOn: runs.record.describe(),
        leftMs: Math.round(call.deadlineMs - now()),
        ...engines.countLeftOut(service),
      });
      failBroken(sent, end);
    }

    function failBroken(
      { head }: Pick<StreamRun, "head">,
      { how, body }: Pick<StreamRunEnd, "how" | "body">,
    ): void {
      const isUpstreamError = how.type === "complete" && head !== undefined &&
        head.status >= 300 && !response.headersSent;
      if (isUpstreamError) return callEnd.forwardAnswer(head, body);
      callEnd.refuse({ status: 502, reason: "answer_broken" });
    }

    function handleWithheld(engineId: string): void {
      sendCount -= 1;
      noteWithheld(call, context, engineId);
      retry();
    }

    function handleBroken(sent: StreamRun, how: ExchangeEnd): void {
      const engineId = sent.failedEngineId ?? sent.path[0].engineId;
      const reason = how.type === "broken" ? how.reason : undefined;
      // An engine that has sent events is reachable: it cuts a single stream off
      // when an engine after it on the path ran out of capacity or failed.
      const hasExceededLimit = how.type === "broken" && how.limit !== undefined;
      if (reason !== undefined && (!sent.hasBegun || hasExceededLimit)) {
        engines.suspect(engineId, reason);
      }
      excluded.add(engineId);
      log("callBroken", {
        requestId,
        requestKey: call.requestKey,
        engineId,
        how: how.type,
        reason,
        wasAborted: sent.wasAborted,
        silenceMs: Math.round(relay.getSilenceMs()),
        status: sent.head?.status,
        lastEventId: relay.getProgress().lastEventId,
        runs: runs.getCount(),
        ...engines.countLeftOut(service),
      });
    }

    // An engine that was left because it was unresponsive may only be unreachable from
    // here, which does not prove a crash.
    async function checkUpstreamEnd(
      sent: StreamRun,
      how: ExchangeEnd,
    ): Promise<void> {
      const wasUnresponsive = sent.wasAborted && how.type === "broken" &&
        how.reason !== REFUSES_CONNECTIONS;
      if (wasUnresponsive) return;
      const { path, failedEngineId, sentMs, firstEventMs } = sent;
      const failedPart = path.find((part) => part.engineId === failedEngineId);
      const upstream = failedPart ?? path[0];
      await detectUpstreamCrash(call, context, {
        upstream,
        sentMs,
        firstEventMs,
        crashReports: crashReports.get(sent) ?? [],
      });
    }

    function handleNotRun(
      sent: StreamRun,
      { head, wasCurrent }: {
        readonly head: UpstreamHead;
        readonly wasCurrent: boolean;
      },
    ): void {
      runs.noteRejected(sent);
      excluded.add(handleRefusal(call, context, { sent, head }));
      metrics.countRetry("upstream_refused");
      if (wasCurrent) retry();
    }

    next();
  });
}
