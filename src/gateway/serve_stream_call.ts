/**
 * Serves a call whose answer is a stream of events.
 *
 * @module
 */

import { admitCall } from "./admit_call.ts";
import { getCallModel, getCallTokens } from "./choose_call_path.ts";
import { chooseRunPath } from "./choose_run_path.ts";
import { createCallEnd } from "./create_call_end.ts";
import { createLaterRefusals } from "./create_later_refusals.ts";
import { createRoomWait } from "./create_room_wait.ts";
import {
  createRunPermit,
  type HeldAnswer,
  holdBack,
  PERMIT_POLL_MS,
} from "./create_run_permit.ts";
import { createRunRecord } from "./create_run_record.ts";
import { createRunMover } from "./create_run_mover.ts";
import { REFUSES_CONNECTIONS } from "./create_run_watch.ts";
import { createSendWaits } from "./create_send_waits.ts";
import { createTryPayment } from "./create_try_payment.ts";
import type { ExchangeEnd } from "./create_exchanger.ts";
import { createStreamRelay } from "./create_stream_relay.ts";
import {
  findUpstreamEnd,
  hasJustBegun,
  isProved,
} from "./find_upstream_end.ts";
import { noteWithheld } from "./note_withheld.ts";
import type { AddressedPart, UpstreamHead } from "./protocol.ts";
import type { SendGrant } from "./create_rate_limits.ts";
import { requestGrant } from "./request_grant.ts";
import { spreadReturnMs } from "./spread_return_ms.ts";
import {
  startStreamRun,
  type StreamRun,
  type StreamRunEnd,
} from "./start_stream_run.ts";
import { takeRefusal } from "./take_refusal.ts";
import type { Call, ServingContext } from "./types.ts";

/** Sends of one call, refused ones included. */
const MAX_TRIES = 5;

/** Ms after which a caller may come again where no upstream took its call. */
const RETRY_AFTER_MS = 500;

/**
 * Serves a call: passes whole events on as they come, moves the path off
 * engines that stand still, goes on elsewhere where the stream breaks.
 *
 * @param call - The call.
 * @param context - Engines, budget, connections.
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
    const runRecord = createRunRecord({
      maxAttempts: route.maxAttempts,
      engines,
      endCheck: context.endCheck,
    });
    const payment = createTryPayment(() => context.budget.spend(service));
    let tries = 0;
    let runs = 0;
    let isLetIn = request.lastEventId !== undefined;
    let isRunProved = false;
    // Resolves once it is known whether the last run ended its upstream.
    let endKnown = Promise.resolve();
    let run: StreamRun | undefined;

    const tokens = getCallTokens(call, model);
    const relay = createStreamRelay({
      response,
      lastEventId: request.lastEventId,
      onPause: (pauseMs) =>
        context.pauses.notePause({
          pauseMs,
          bearableMs: route.gapObjectiveMs,
          path: run?.path ?? [],
        }),
      onFirstEvent: () =>
        metrics.timing("requests.first_token_ms", now() - call.startedMs),
      now,
    });
    let unwatch = () => {};
    const roomWait = createRoomWait(call, context);
    const permit = createRunPermit(call, context);
    const waits = createSendWaits({
      roomWait,
      relay,
      hasBegun: () => response.headersSent,
      onLook: next,
      onGiveUp: giveUp,
    });
    const callEnd = createCallEnd({
      call,
      context,
      describe,
      onEnd(outcome) {
        unwatch();
        roomWait.end();
        if (run) noteLeft(run);
        run?.abort(outcome);
        void endKnown.then(permit.noteRunEnd);
        resolve();
      },
      onDeadline: finishTimedOut,
    });

    const refusals = createLaterRefusals(call, context, {
      callEnd,
      getProgress: () => ({ tries, runs }),
    });
    const mover = createRunMover(call, context, {
      relay,
      excluded,
      isCurrent: (sent) => run === sent && !callEnd.hasEnded(),
    });

    function describe() {
      const { events, firstEventMs, longestPauseMs } = relay.getProgress();
      return {
        tries,
        runs,
        events,
        firstEventMs: firstEventMs && Math.round(firstEventMs - call.startedMs),
        longestGapMs: Math.round(longestPauseMs),
      };
    }

    function finishTimedOut(): void {
      // What was sent may run, even where no answer has begun.
      const mayHaveRun = runs > 0 || run !== undefined;
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
      // The timer of the deadline stands still while the machine is suspended.
      if (now() >= call.deadlineMs) return finishTimedOut();
      if (tries >= MAX_TRIES) return giveUp("too many tries");
      const answer = permit.ask({ excluded });
      if (answer.type === "held") return endHeld(answer);
      if (answer.type === "wait") return void setTimeout(next, PERMIT_POLL_MS);
      const retryAfterMs = isLetIn ? undefined : admitCall(call, context);
      if (retryAfterMs !== undefined) {
        return refusals.refuseForBackOff(retryAfterMs);
      }
      isLetIn = true;
      const isNew = runs === 0 && request.lastEventId === undefined;
      if (isNew && !roomWait.isFirst()) return waits.waitForRoom();
      const choice = chooseRunPath(call, context, {
        excluded,
        trialEngineId: answer.trialEngineId,
        need: { tokens, isNew },
      });
      if (choice.type === "full" && isNew) return waits.waitForRoom();
      if (choice.type === "resting") return waitForBackOff(choice.leftMs);
      if (choice.type === "limited") return waitForLimit(choice.leftMs);
      if (choice.type !== "path") return waitForPath();
      const { path } = choice;
      const [{ engineId }] = path;
      const grant = context.rateLimits.take(engineId);
      if (!grant) return void requestGrant(call, context, engineId).then(next);
      if (!payment.payNext()) {
        grant.giveBack();
        return waits.waitForRepeats();
      }
      waits.noteSent();
      tries += 1;
      send(path, grant);
    }

    // Engines that were left out for this call may be back by then.
    function waitForPath(): void {
      waits.waitForPath({ onWait: () => excluded.clear() });
    }

    // Nobody can take it before the first back-off ends: a caller that has nothing of
    // it yet is told so at once, in place of being kept for it.
    function waitForBackOff(leftMs: number): void {
      if (response.headersSent || runs > 0) return waitUntilUsable(leftMs);
      refusals.refuseForBackOff(spreadReturnMs(leftMs, context.random()));
    }

    function waitForLimit(leftMs: number): void {
      if (response.headersSent || runs > 0) return waitUntilUsable(leftMs);
      refusals.refuseForLimit(leftMs);
    }

    function waitUntilUsable(leftMs: number): void {
      const onWait = () => excluded.clear();
      waits.waitForPath({ onWait, leftMs });
    }

    function goOn(): void {
      permit.noteRunEnd();
      next();
    }

    function endHeld(held: HeldAnswer): void {
      const hasRun = response.headersSent || runs > 0;
      holdBack(call, context, { callEnd, held, hasRun });
    }

    function giveUp(reason: string): void {
      log("callGivenUp", { requestId, reason, tries, runs });
      if (response.headersSent || runs > 0) {
        return callEnd.refuse({ status: 502, reason: "outcome_unknown" });
      }
      callEnd.refuse({
        status: 503,
        reason: "no_upstream",
        retryAfterMs: context.returns.getWaitMs(service),
      });
    }

    function send(path: readonly AddressedPart[], grant: SendGrant): void {
      roomWait.end();
      const { lastEventId } = relay.getProgress();
      log("callSent", {
        requestId,
        requestKey: call.requestKey,
        engineId: path[0].engineId,
        path: path.map((part) => `${part.engineId}:${part.toLayer}`).join(),
        backOffLeftMs: getBackOffLeftMs(path),
        limitPerS: context.rateLimits.getLimitPerS(path[0].engineId),
        tries,
        lastEventId,
      });
      relay.restart();
      permit.noteSent(path[0].engineId);
      run = startStreamRun(call, context, {
        path,
        isLayered: model !== undefined,
        grant,
        tokens,
        lastEventId,
        onHead: takeHead,
        onEvent(sent, event) {
          noteProof(sent);
          if (!callEnd.hasEnded() && !relay.pass(event)) waitForCaller(sent);
        },
        onEnd(sent, end) {
          if (run === sent) unwatch();
          if (callEnd.hasEnded() || run !== sent) return;
          run = undefined;
          takeEnd(sent, end);
        },
      });
      watch(run);
    }

    // Of the engine of the path that is backed off for longest.
    function getBackOffLeftMs(path: readonly AddressedPart[]): number {
      const backOffsMs = path.map(({ engineId }) =>
        context.notices.getBackOffLeftMs(engineId)
      );
      return Math.round(Math.max(...backOffsMs));
    }

    // It may have ended its engine already: the news is still on its way.
    function noteLeft({ path, firstEventMs }: StreamRun): void {
      if (!hasJustBegun({ firstEventMs }, now())) return;
      const { requestKey } = call;
      context.leftRuns.note({ requestKey, engineId: path[0].engineId });
    }

    function noteProof(sent: StreamRun): void {
      if (isRunProved || !isProved(sent, now())) return;
      isRunProved = true;
      context.quarantine.noteProved(call.requestKey);
    }

    function watch(sent: StreamRun): void {
      unwatch();
      // Only what may go on elsewhere can leave an engine.
      if (!isResumable) return;
      unwatch = context.runWatch.add({
        isOverParts: model !== undefined,
        getPath: () => sent.path,
        hasBegun: () => sent.hasBegun,
        getSilenceMs: relay.getSilenceMs,
        getUsualPauseMs: relay.getUsualPauseMs,
        checkStall: () => mover.checkStall(sent),
        checkLeaving: () => mover.checkLeaving(sent),
        leave(engineId, reason) {
          excluded.add(engineId);
          void mover.leaveLost(sent, { engineId, reason });
        },
      });
    }

    function waitForCaller(sent: StreamRun): void {
      sent.pause();
      response.once("drain", sent.resume);
    }

    function takeHead({ head, isStream }: StreamRun): void {
      if (!head || !isStream || response.headersSent) return;
      if (callEnd.hasEnded()) return;
      response.writeHead(200, [
        ...head.headers,
        ...(context.isLeaving() ? ["connection", "close"] : []),
      ]);
      response.flushHeaders();
    }

    function takeEnd(
      sent: StreamRun,
      { how, isCut, body }: StreamRunEnd,
    ): void {
      const [{ engineId }] = sent.path;
      const { head } = sent;
      const blamedId = sent.lostEngineId ?? engineId;
      if (how.type === "withheld") return takeWithheld(engineId);
      payment.noteEnd({ wasSent: how.type !== "notSent" });
      if (how.type === "notSent") {
        metrics.countRetry("connect_failed");
        engines.suspect(blamedId, how.reason);
        return goOn();
      }
      if (how.type === "complete" && head?.saysNotRun) {
        return takeNotRun(sent, head);
      }
      runs += 1;
      runRecord.note(sent.path[0]);
      const isWhole = how.type === "complete" && sent.isStream && !isCut;
      engines.noteAnswer(blamedId, { failed: !isWhole });
      if (isWhole) {
        context.endRate.noteEnd({ tookMs: now() - call.startedMs });
        context.rates.noteEnded(service);
        context.throttle.noteServed(service);
        context.quarantine.noteProved(call.requestKey);
        response.end();
        return callEnd.end("answered");
      }
      takeBroken(sent, how);
      endKnown = findEnd(sent, how);
      if (isResumable) void goOnElsewhere(sent, { how, body });
      else endBroken(sent, { how, body });
    }

    // An upstream that has ended doesn't count as one that ran it. One whose connection
    // broke may be well, and so may one that left without draining.
    async function goOnElsewhere(
      sent: StreamRun,
      end: Pick<StreamRunEnd, "how" | "body">,
    ): Promise<void> {
      await endKnown;
      if (!runRecord.mayRunElsewhere()) await runRecord.checkEnds();
      if (callEnd.hasEnded()) return;
      if (runRecord.mayRunElsewhere()) {
        metrics.count("streams.resumed");
        return goOn();
      }
      const { maxAttempts } = route;
      log("runsSpent", { requestId, maxAttempts, ranOn: runRecord.describe() });
      endBroken(sent, end);
    }

    function endBroken(
      { head }: StreamRun,
      { how, body }: Pick<StreamRunEnd, "how" | "body">,
    ): void {
      const isOwnFailure = how.type === "complete" && head !== undefined &&
        head.status >= 300 && !response.headersSent;
      if (isOwnFailure) return callEnd.passOn(head, body);
      callEnd.refuse({ status: 502, reason: "answer_broken" });
    }

    function takeWithheld(engineId: string): void {
      tries -= 1;
      noteWithheld(call, context, engineId);
      goOn();
    }

    function takeBroken(sent: StreamRun, how: ExchangeEnd): void {
      const engineId = sent.lostEngineId ?? sent.path[0].engineId;
      const reason = how.type === "broken" ? how.reason : undefined;
      // An engine that has given events is there: it cuts single streams off
      // where an engine after it ran out of room or was lost.
      if (reason !== undefined && !sent.hasBegun) {
        engines.suspect(engineId, reason);
      }
      excluded.add(engineId);
      log("callBroken", {
        requestId,
        requestKey: call.requestKey,
        engineId,
        how: how.type,
        reason,
        status: sent.head?.status,
        lastEventId: relay.getProgress().lastEventId,
        runs,
      });
    }

    // What was left because it was silent may be dark or cut off: that proves nothing.
    async function findEnd(sent: StreamRun, how: ExchangeEnd): Promise<void> {
      const isSilent = sent.wasLeft && how.type === "broken" &&
        how.reason !== REFUSES_CONNECTIONS;
      if (isSilent) return;
      const { path, lostEngineId, sentMs, firstEventMs } = sent;
      const lost = path.find((part) => part.engineId === lostEngineId);
      const upstream = lost ?? path[0];
      await findUpstreamEnd(call, context, { upstream, sentMs, firstEventMs });
    }

    function takeNotRun(sent: StreamRun, head: UpstreamHead): void {
      excluded.add(takeRefusal(call, context, { sent, head }));
      metrics.countRetry("upstream_refused");
      goOn();
    }

    next();
  });
}
