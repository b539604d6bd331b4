/**
 * Serves a call whose answer is passed on whole.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { answerRefusal } from "./answer_refusal.ts";
import { chooseEngine } from "./choose_engine.ts";
import type { EngineView } from "./create_engine_table.ts";
import type { Exchange, ExchangeEnd } from "./create_exchanger.ts";
import type { Refusal, UpstreamHead } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** Tries of one call, refused ones included. */
const MAX_TRIES = 3;

/** Ms after which a caller may come again where no upstream took its call. */
const RETRY_AFTER_MS = 300;

/** Statuses below this one are an upstream's success or its own refusal. */
const FIRST_SERVER_ERROR = 500;

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
    const { request, response, route, service } = call;
    const { engines, budget, now, log } = context;
    const excluded = new Set<string>();
    let tries = 0;
    let runs = 0;
    let ended = false;
    let exchange: Exchange | undefined;
    const timer = setTimeout(
      () => finishTimedOut(),
      Math.max(0, call.deadlineMs - now()),
    );
    response.on("close", () => end("caller left"));

    function end(outcome: string): void {
      if (ended) return;
      ended = true;
      clearTimeout(timer);
      exchange?.abort(outcome);
      const tookMs = Math.round(now() - call.startedMs);
      context.metrics.timing("requests.duration_ms", tookMs);
      const status = response.headersSent ? response.statusCode : 0;
      const { requestId } = request;
      log(outcome === "answered" ? "callEnded" : "callEndedBadly", {
        requestId,
        outcome,
        status,
        tries,
        tookMs,
        service,
      });
      resolve();
    }

    function refuse(refusal: Refusal): void {
      if (ended) return;
      const { codec, metrics } = context;
      const closes = context.isLeaving();
      metrics.countRefusal(refusal.reason);
      answerRefusal(response, { codec, request, refusal, closes });
      end(refusal.reason);
    }

    function finishTimedOut(): void {
      exchange?.abort("deadline");
      const refusal: Refusal = runs > 0
        ? { status: 504, reason: "deadline" }
        : { status: 503, reason: "not_taken", retryAfterMs: RETRY_AFTER_MS };
      refuse(refusal);
    }

    function next(): void {
      if (ended) return;
      const engine = tries < MAX_TRIES ? choose() : undefined;
      const isPaid = tries === 0 || (engine && budget.spend(service));
      if (!engine || !isPaid) return giveUp();
      tries += 1;
      send(engine);
    }

    function choose(): EngineView | undefined {
      return chooseEngine(engines.listUsable(service), {
        place: context.place,
        excluded,
        nowMs: now(),
        random: context.random(),
      });
    }

    function giveUp(): void {
      if (runs > 0) return refuse({ status: 502, reason: "outcome_unknown" });
      refuse({
        status: 503,
        reason: "no_upstream",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }

    function send(engine: EngineView): void {
      const { engineId, address } = engine.record;
      const envelope = {
        deadlineMs: Math.max(1, Math.floor(call.deadlineMs - now())),
        engineId,
        account: call.account?.name,
        lastEventId: request.lastEventId,
        path: [],
      };
      const chunks: Buffer[] = [];
      let head: UpstreamHead | undefined;
      engine.inFlight += 1;
      const { requestId } = request;
      log("callSent", { requestId, engineId, tries, runs });
      exchange = context.exchanger.start({
        engineId,
        address,
        method: request.method,
        target: request.target,
        headers: context.codec.formatUpstreamHeaders(request, envelope),
        body: call.body,
        requestId,
        onHead: (told) => {
          head = told;
        },
        onData: (chunk) => void chunks.push(chunk),
        onEnd: (how) => {
          engine.inFlight -= 1;
          if (ended) return;
          take(engine, { how, head, body: Buffer.concat(chunks) });
        },
      });
    }

    function take(
      engine: EngineView,
      result: {
        how: ExchangeEnd;
        head: UpstreamHead | undefined;
        body: Buffer;
      },
    ): void {
      const { how, head, body } = result;
      const { engineId } = engine.record;
      excluded.add(engineId);
      if (how.type === "notSent") {
        context.metrics.countRetry("connect_failed");
        engines.suspect(engineId, how.reason);
        return next();
      }
      if (head?.load !== undefined) engine.toldLoad = head.load;
      if (how.type === "complete" && head?.saysNotRun) {
        context.metrics.countRetry("upstream_refused");
        if (head.status === 421) engines.suspect(engineId, "other upstream");
        return next();
      }
      runs += 1;
      const isWhole = how.type === "complete" && head !== undefined &&
        (head.isSigned || head.status >= 300);
      const failed = !isWhole || head.status >= FIRST_SERVER_ERROR;
      engines.noteAnswer(engineId, { failed });
      if (how.type === "broken") engines.suspect(engineId, how.reason);
      const mayRepeat = route.repeatability !== "once" &&
        runs < route.maxAttempts;
      if (failed && mayRepeat) {
        const wasCut = how.type === "broken";
        context.metrics
          .countRetry(wasCut ? "reset_before_answer" : "upstream_error");
        return next();
      }
      if (!isWhole) return refuse({ status: 502, reason: "answer_broken" });
      passOn(head, body);
    }

    function passOn(head: UpstreamHead, body: Buffer): void {
      if (ended || response.destroyed) return;
      response.writeHead(head.status, [
        ...head.headers,
        "content-length",
        String(body.length),
        ...(context.isLeaving() ? ["connection", "close"] : []),
      ]);
      response.end(body);
      end("answered");
    }

    next();
  });
}
