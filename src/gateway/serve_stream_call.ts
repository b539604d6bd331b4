/**
 * Serves a call whose answer is a stream of events.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { chooseCallPath, getCallModel } from "./choose_call_path.ts";
import { createCallEnd } from "./create_call_end.ts";
import type { Exchange, ExchangeEnd } from "./create_exchanger.ts";
import { createStreamRelay } from "./create_stream_relay.ts";
import type { AddressedPart, UpstreamHead } from "./protocol.ts";
import { rescueStream } from "./rescue_stream.ts";
import { createEventSplitter } from "./split_events.ts";
import type { Call, ServingContext } from "./types.ts";

/** Sends of one call, refused ones included. */
const MAX_TRIES = 5;

/** Ms after which a caller may come again where no upstream took its call. */
const RETRY_AFTER_MS = 500;

/** Ms after which a refusal tells of an engine that is dead, not full. */
const DEAD_REFUSAL_MS = 1_000;

/** Ms between two looks for a path while a stream waits to go on. */
const PATH_WAIT_MS = 50;

/** Ms for which a begun stream waits for a path. */
const MAX_PATH_WAIT_MS = 1_500;

/** Ms for which a new request waits for one: a lost range is soon held again. */
const NEW_PATH_WAIT_MS = 1_000;

/** One send of the call. */
interface Run {
  path: readonly AddressedPart[];
  /** Engine of the path that was found to be lost. */
  lostEngineId: string | undefined;
  readonly sentMs: number;
  exchange: Exchange | undefined;
  head: UpstreamHead | undefined;
  /** Whether its events are passed on. */
  isRelaying: boolean;
  hasBegun: boolean;
}

/** How a run ended. */
interface RunEnd {
  readonly how: ExchangeEnd;
  /** Whether it ended in the middle of an event. */
  readonly isCut: boolean;
  /** What came of an answer that is no stream. */
  readonly body: Buffer;
}

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
    const { engines, budget, now, log, codec, metrics } = context;
    const { requestId } = request;
    const model = getCallModel(call, context);
    const isResumable = route.repeatability === "resumable";
    const excluded = new Set<string>();
    const ranOn = new Set<string>();
    let tries = 0;
    let runs = 0;
    let run: Run | undefined;
    let checking = false;

    // Callers name the most that an answer may hold; most hold far less.
    const usualTokens = model?.usualAnswerTokens ?? request.answerTokens;
    const tokens = request.promptTokens +
      Math.min(usualTokens, request.answerTokens);
    const relay = createStreamRelay({
      response,
      lastEventId: request.lastEventId,
      bearablePauseMs: route.gapObjectiveMs,
      pauses: context.pauses,
      onFirstEvent: () =>
        metrics.timing("requests.first_token_ms", now() - call.startedMs),
      now,
    });
    let unwatch = () => {};
    const callEnd = createCallEnd({
      call,
      context,
      describe,
      onEnd(outcome) {
        unwatch();
        run?.exchange?.abort(outcome);
        resolve();
      },
      onDeadline: finishTimedOut,
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
      if (tries >= MAX_TRIES) return giveUp("too many tries");
      const path = chooseCallPath(call, context, { excluded });
      if (!path) return waitForPath();
      if (tries > 0 && !budget.spend(service)) return giveUp("no budget");
      tries += 1;
      send(path);
    }

    function waitForPath(): void {
      const limitMs = response.headersSent
        ? MAX_PATH_WAIT_MS
        : NEW_PATH_WAIT_MS;
      if (relay.getSilenceMs() > limitMs) return giveUp("no path");
      // Engines that were left out for this call may be back by then.
      excluded.clear();
      setTimeout(next, PATH_WAIT_MS);
    }

    function giveUp(reason: string): void {
      log("callGivenUp", { requestId, reason, tries, runs });
      if (response.headersSent || runs > 0) {
        return callEnd.refuse({ status: 502, reason: "outcome_unknown" });
      }
      callEnd.refuse({
        status: 503,
        reason: "no_upstream",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }

    function send(path: readonly AddressedPart[]): void {
      const [{ engineId, address }] = path;
      const { lastEventId } = relay.getProgress();
      const sent: Run = {
        path,
        lostEngineId: undefined,
        sentMs: now(),
        exchange: undefined,
        head: undefined,
        isRelaying: false,
        hasBegun: false,
      };
      run = sent;
      relay.restart();
      watch(sent);
      engines.addWork(path, { tokens });
      const endPrompt = engines.beginPrompt(engineId);
      const splitter = createEventSplitter();
      const chunks: Buffer[] = [];
      log("callSent", {
        requestId,
        engineId,
        path: path.map((part) => `${part.engineId}:${part.toLayer}`).join(),
        tries,
        lastEventId,
      });
      sent.exchange = context.exchanger.start({
        engineId,
        address,
        method: request.method,
        target: request.target,
        headers: codec.formatUpstreamHeaders(request, {
          deadlineMs: Math.max(1, Math.floor(call.deadlineMs - now())),
          engineId,
          account: call.account?.name,
          lastEventId,
          path: model ? path : [],
        }),
        body: call.body,
        requestId,
        onHead: (head) => takeHead(sent, head),
        onData(chunk) {
          if (!sent.isRelaying) return void chunks.push(chunk);
          for (const event of splitter.take(chunk)) {
            sent.hasBegun = true;
            endPrompt();
            if (!callEnd.hasEnded() && !relay.pass(event)) waitForCaller(sent);
          }
        },
        onEnd(how) {
          engines.removeWork(sent.path, { tokens });
          endPrompt();
          if (run === sent) unwatch();
          if (callEnd.hasEnded() || run !== sent) return;
          run = undefined;
          const body = Buffer.concat(chunks);
          takeEnd(sent, { how, isCut: splitter.hasRest(), body });
        },
      });
    }

    function watch(sent: Run): void {
      unwatch();
      // Only over parts can another engine than the first be the one at fault,
      // and only what may go on elsewhere can leave it.
      if (!model || !isResumable) return;
      unwatch = context.runWatch.add({
        getPath: () => sent.path,
        hasBegun: () => sent.hasBegun,
        getSilenceMs: relay.getSilenceMs,
        checkStall: () => checkStall(sent),
        leave(engineId, reason) {
          sent.lostEngineId = engineId;
          excluded.add(engineId);
          sent.exchange?.abort(reason);
        },
      });
    }

    function waitForCaller(sent: Run): void {
      sent.exchange?.pause();
      response.once("drain", () => sent.exchange?.resume());
    }

    function takeHead(sent: Run, head: UpstreamHead): void {
      sent.head = head;
      sent.isRelaying = head.status === 200 && head.isSigned;
      if (!sent.isRelaying || response.headersSent || callEnd.hasEnded()) {
        return;
      }
      response.writeHead(200, [
        ...head.headers,
        ...(context.isLeaving() ? ["connection", "close"] : []),
      ]);
      response.flushHeaders();
    }

    function takeEnd(sent: Run, { how, isCut, body }: RunEnd): void {
      const [{ engineId }] = sent.path;
      const { head } = sent;
      if (how.type === "notSent") {
        metrics.countRetry("connect_failed");
        engines.suspect(engineId, how.reason);
        return next();
      }
      if (how.type === "complete" && head?.saysNotRun) {
        return takeNotRun(sent, head);
      }
      runs += 1;
      ranOn.add(engineId);
      const isWhole = how.type === "complete" && sent.isRelaying && !isCut;
      const blamedId = sent.lostEngineId ?? engineId;
      engines.noteAnswer(blamedId, { failed: !isWhole });
      if (isWhole) {
        response.end();
        return callEnd.end("answered");
      }
      takeBroken(sent, how);
      if (isResumable && mayRunElsewhere()) {
        metrics.count("streams.resumed");
        return next();
      }
      const isOwnFailure = how.type === "complete" && head !== undefined &&
        head.status >= 300 && !response.headersSent;
      if (isOwnFailure) return callEnd.passOn(head, body);
      callEnd.refuse({ status: 502, reason: "answer_broken" });
    }

    // An upstream that is gone no longer counts as one that runs it; one whose
    // connection broke may be well.
    function mayRunElsewhere(): boolean {
      const counted = [...ranOn].filter((id) => engines.get(id) !== undefined);
      return counted.length < route.maxAttempts;
    }

    function takeBroken(sent: Run, how: ExchangeEnd): void {
      const engineId = sent.lostEngineId ?? sent.path[0].engineId;
      const reason = how.type === "complete" ? undefined : how.reason;
      if (reason !== undefined) engines.suspect(engineId, reason);
      excluded.add(engineId);
      log("callBroken", {
        requestId,
        engineId,
        how: how.type,
        reason,
        status: sent.head?.status,
        lastEventId: relay.getProgress().lastEventId,
        runs,
      });
    }

    function takeNotRun(sent: Run, head: UpstreamHead): void {
      const [first] = sent.path;
      const faulty = sent.path
        .find((part) => part.address === head.faultAddress) ?? first;
      const { engineId } = faulty;
      const { status } = head;
      const tookMs = Math.round(now() - sent.sentMs);
      excluded.add(engineId);
      if (status === 421 || tookMs > DEAD_REFUSAL_MS) {
        engines.suspect(engineId, `refused with ${status}`);
      } else {
        engines.noteFull(engineId);
        context.runWatch.checkEngine(faulty);
      }
      metrics.countRetry("upstream_refused");
      log("callNotRun", { requestId, faulty: engineId, status, tookMs });
      next();
    }

    function checkStall(silent: Run): void {
      if (run !== silent || checking) return;
      checking = true;
      void rescue(silent).finally(() => {
        checking = false;
      });
    }

    async function rescue(silent: Run): Promise<void> {
      const { events } = relay.getProgress();
      const { path } = silent;
      const found = await rescueStream(call, context, { path, excluded });
      if (run !== silent || callEnd.hasEnded()) return;
      if (found.type === "moved") return takeMove(silent, found.path);
      // What gave an event meanwhile is not lost.
      const isLost = found.type === "lost" &&
        relay.getProgress().events === events;
      if (!isLost) return;
      engines.suspect(found.engineId, found.reason);
      excluded.add(found.engineId).add(path[0].engineId);
      silent.exchange?.abort(found.reason);
    }

    function takeMove(moved: Run, path: readonly AddressedPart[]): void {
      engines.removeWork(moved.path, { tokens });
      moved.path = path;
      engines.addWork(path, { tokens });
      relay.restart();
      metrics.count("paths.changed");
    }

    next();
  });
}
