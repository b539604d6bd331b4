/**
 * Serves a call whose answer is passed on whole.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { admitCall } from "./admit_call.ts";
import { chooseEngine, getKeptShare } from "./choose_engine.ts";
import { createCallEnd } from "./create_call_end.ts";
import { createLaterRefusals } from "./create_later_refusals.ts";
import type { EngineView } from "./engine_view.ts";
import type { Exchange, ExchangeEnd } from "./create_exchanger.ts";
import {
  createRunPermit,
  holdBack,
  PERMIT_POLL_MS,
} from "./create_run_permit.ts";
import { createTryPayment } from "./create_try_payment.ts";
import { findUpstreamEnd } from "./find_upstream_end.ts";
import { getBackOffWaitMs } from "./get_back_off_wait_ms.ts";
import { noteBackOff } from "./note_back_off.ts";
import { noteWithheld } from "./note_withheld.ts";
import type { UpstreamHead } from "./protocol.ts";
import type { SendGrant } from "./create_rate_limits.ts";
import { getLimitWaitMs } from "./get_limit_wait_ms.ts";
import { listSendable } from "./list_sendable.ts";
import { requestGrant } from "./request_grant.ts";
import { spreadReturnMs } from "./spread_return_ms.ts";
import { startCallExchange } from "./start_call_exchange.ts";
import type { Call, ServingContext } from "./types.ts";

/** Tries of one call, refused ones included. */
const MAX_TRIES = 3;

/** Ms after which a caller may come again where no upstream took its call. */
const RETRY_AFTER_MS = 300;

/** From this status on an upstream says that it failed itself. */
const FIRST_SERVER_ERROR = 500;

/** What one try came to. */
interface TryEnd {
  readonly how: ExchangeEnd;
  readonly head: UpstreamHead | undefined;
  readonly body: Buffer;
}

/**
 * Serves a call; the answer is final when it returns to the caller, and a
 * call that must not be repeated is sent on only where it surely did not run.
 *
 * @param call - The call.
 * @param context - Engines, budget, connections.
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
    const { request, route, service } = call;
    const { engines, now, log, metrics } = context;
    const { requestId } = request;
    const excluded = new Set<string>();
    const payment = createTryPayment(() => context.budget.spend(service));
    const permit = createRunPermit(call, context);
    let tries = 0;
    let runs = 0;
    let isLetIn = false;
    let exchange: Exchange | undefined;
    let sentMs = 0;
    // Resolves once it is known whether the last run ended its upstream.
    let endKnown = Promise.resolve();
    const callEnd = createCallEnd({
      call,
      context,
      describe: () => ({ tries, runs }),
      onEnd(outcome) {
        exchange?.abort(outcome);
        void endKnown.then(permit.noteRunEnd);
        resolve();
      },
      onDeadline: finishTimedOut,
    });

    const refusals = createLaterRefusals(call, context, {
      callEnd,
      getProgress: () => ({ tries, runs }),
    });

    function finishTimedOut(): void {
      // Nothing is sent any more; a try that is under way counts as a run.
      tries = MAX_TRIES;
      exchange?.abort("deadline");
      if (runs > 0) callEnd.refuse({ status: 504, reason: "deadline" });
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
      const permitted = permit.ask({ excluded });
      if (permitted.type === "held") {
        const hasRun = runs > 0;
        return holdBack(call, context, { callEnd, held: permitted, hasRun });
      }
      if (permitted.type === "wait") return waitForPermit();
      const { trialEngineId } = permitted;
      const retryAfterMs = isLetIn ? undefined : admitCall(call, context);
      if (retryAfterMs !== undefined) {
        return refusals.refuseForBackOff(retryAfterMs);
      }
      isLetIn = true;
      const engine = tries < MAX_TRIES ? choose(trialEngineId) : undefined;
      if (!engine) return giveUp();
      const { engineId } = engine.record;
      const grant = context.rateLimits.take(engineId);
      if (!grant) return void requestGrant(call, context, engineId).then(next);
      if (!payment.payNext()) {
        grant.giveBack();
        return giveUp();
      }
      tries += 1;
      send(engine, grant);
    }

    function goOn(): void {
      permit.noteRunEnd();
      next();
    }

    function waitForPermit(): void {
      setTimeout(next, PERMIT_POLL_MS);
    }

    // Suspected requests begin apart from each other, as far as that goes.
    function choose(trialEngineId?: string): EngineView | undefined {
      if (trialEngineId !== undefined) {
        return chooseAmong((id) => id === trialEngineId);
      }
      const taken = context.quarantine.isSuspect(call.requestKey)
        ? context.quarantine.listTaken(call.requestKey)
        : [];
      return chooseAmong((id) => !taken.includes(id)) ?? chooseAmong();
    }

    function chooseAmong(
      isAllowed: (engineId: string) => boolean = () => true,
    ): EngineView | undefined {
      const usable = listSendable(call, context)
        .filter(({ record }) => isAllowed(record.engineId));
      return chooseEngine(usable, {
        place: context.place,
        excluded,
        nowMs: now(),
        random: context.random(),
        keptShare: getKeptShare({
          ageMs: engines.getLoadsAgeMs(),
          usualMs: context.usualTimes.getMs(service),
        }),
      });
    }

    function giveUp(): void {
      if (runs > 0) {
        return callEnd.refuse({ status: 502, reason: "outcome_unknown" });
      }
      const { notices } = context;
      const backOffLeftMs = getBackOffWaitMs({ engines, notices, service });
      if (backOffLeftMs !== undefined) {
        const waitMs = spreadReturnMs(backOffLeftMs, context.random());
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
      const chunks: Buffer[] = [];
      let head: UpstreamHead | undefined;
      engine.inFlight += 1;
      permit.noteSent(engineId);
      const { requestKey } = call;
      const backOffLeftMs = Math.round(
        context.notices.getBackOffLeftMs(engineId),
      );
      log("callSent", {
        requestId,
        requestKey,
        engineId,
        backOffLeftMs,
        limitPerS: context.rateLimits.getLimitPerS(engineId),
        tries,
        runs,
      });
      sentMs = now();
      exchange = startCallExchange(call, context, {
        engine: engine.record,
        path: [],
        grant,
        lastEventId: request.lastEventId,
        onHead: (told) => {
          head = told;
        },
        onData: (chunk) => void chunks.push(chunk),
        onEnd: (how) => {
          engine.inFlight -= 1;
          if (callEnd.hasEnded()) return;
          take(engine, { how, head, body: Buffer.concat(chunks) });
        },
      });
    }

    function take(engine: EngineView, { how, head, body }: TryEnd): void {
      const { engineId } = engine.record;
      if (how.type === "withheld") return takeWithheld(engineId);
      payment.noteEnd({ wasSent: how.type !== "notSent" });
      excluded.add(engineId);
      if (how.type === "notSent") {
        metrics.countRetry("connect_failed");
        engines.suspect(engineId, how.reason);
        return goOn();
      }
      if (head?.load !== undefined) engine.toldLoad = head.load;
      if (how.type === "complete" && head?.saysNotRun) {
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
        if (status === 421) engines.suspect(engineId, "other upstream");
        if (backOffMs !== undefined) noteBackOff(call, context);
        return goOn();
      }
      runs += 1;
      const tookMs = now() - sentMs;
      context.usualTimes.noteAnswer(service, { tookMs });
      const isWhole = how.type === "complete" && head !== undefined &&
        (head.isSigned || head.status >= 300);
      const failed = !isWhole || head.status >= FIRST_SERVER_ERROR;
      engines.noteAnswer(engineId, { failed });
      if (how.type === "broken") engines.suspect(engineId, how.reason);
      else context.quarantine.noteProved(call.requestKey);
      endKnown = findEnd(engine, how);
      const mayRepeat = route.repeatability !== "once" &&
        runs < route.maxAttempts && now() < call.deadlineMs;
      if (failed && mayRepeat) {
        const wasCut = how.type === "broken";
        metrics.countRetry(wasCut ? "reset_before_answer" : "upstream_error");
        return void endKnown.then(goOn);
      }
      if (isWhole) {
        context.throttle.noteServed(service);
        return callEnd.passOn(head, body);
      }
      const isLate = now() >= call.deadlineMs;
      callEnd.refuse(
        isLate
          ? { status: 504, reason: "deadline" }
          : { status: 502, reason: "answer_broken" },
      );
    }

    function takeWithheld(engineId: string): void {
      tries -= 1;
      noteWithheld(call, context, engineId);
      goOn();
    }

    async function findEnd(
      { record: upstream }: EngineView,
      how: ExchangeEnd,
    ): Promise<void> {
      if (how.type !== "broken") return;
      const run = { upstream, sentMs, firstEventMs: undefined };
      await findUpstreamEnd(call, context, run);
    }

    next();
  });
}
