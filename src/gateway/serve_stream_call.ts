/**
 * Serves a call whose answer is a stream of events.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { LayeredModel } from "../routes/index.ts";
import { answerRefusal } from "./answer_refusal.ts";
import { chooseEngine } from "./choose_engine.ts";
import { choosePath } from "./choose_path.ts";
import type { EngineView } from "./create_engine_table.ts";
import type { Exchange, ExchangeEnd } from "./create_exchanger.ts";
import type { AddressedPart, Refusal, UpstreamHead } from "./protocol.ts";
import { createEventSplitter } from "./split_events.ts";
import type { Call, ServingContext } from "./types.ts";

/** Sends of one call, refused ones included. */
const MAX_TRIES = 5;

/** Ms after which a caller may come again where no upstream took its call. */
const RETRY_AFTER_MS = 500;

/** Ms of silence after which the first engine is asked what stands still. */
const STALL_CHECK_MS = 300;

/** Ms for a question or an order to an engine. */
const ENGINE_CONTROL_TIMEOUT_MS = 400;

/** Ms after which a refusal tells of an engine that is dead, not full. */
const DEAD_REFUSAL_MS = 1_000;

/** Ms between two looks for a path while a stream waits to go on. */
const PATH_WAIT_MS = 50;

/** Ms for which a begun stream waits for a path. */
const MAX_PATH_WAIT_MS = 1_500;

/** Ms for which a new request waits for one: a lost range is soon held again. */
const NEW_PATH_WAIT_MS = 1_000;

/** One send of the call. */
interface Leg {
  /** First engine; the others are in the path. */
  readonly engine: EngineView;
  path: readonly AddressedPart[];
  readonly sentMs: number;
  exchange: Exchange | undefined;
  head: UpstreamHead | undefined;
  /** Whether its events are passed on. */
  isRelaying: boolean;
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
    const { engines, budget, now, log, codec } = context;
    const { requestId } = request;
    const tokens = estimateTokens();
    const excluded = new Set<string>();
    const isResumable = route.repeatability === "resumable";
    let lastEventId = request.lastEventId;
    let tries = 0;
    let runs = 0;
    let ended = false;
    let leg: Leg | undefined;
    let eventCount = 0;
    let progressMs = now();
    let firstEventMs: number | undefined;
    let lastEventMs = 0;
    let longestGapMs = 0;
    let checking = false;
    const deadlineTimer = setTimeout(
      finishTimedOut,
      Math.max(0, call.deadlineMs - now()),
    );
    const unwatch = context.pauses.add({ check: checkStall });
    response.on("close", () => end("caller left"));

    // Callers name the most that an answer may hold; most hold far less.
    function estimateTokens(): number {
      const usual = getModel()?.usualAnswerTokens ?? request.answerTokens;
      return request.promptTokens + Math.min(usual, request.answerTokens);
    }

    function end(outcome: string): void {
      if (ended) return;
      ended = true;
      clearTimeout(deadlineTimer);
      unwatch();
      leg?.exchange?.abort(outcome);
      const tookMs = Math.round(now() - call.startedMs);
      context.metrics.timing("requests.duration_ms", tookMs);
      const status = response.headersSent ? response.statusCode : 0;
      log(outcome === "answered" ? "callEnded" : "callEndedBadly", {
        requestId,
        outcome,
        status,
        tries,
        runs,
        events: eventCount,
        firstEventMs: firstEventMs && Math.round(firstEventMs - call.startedMs),
        longestGapMs: Math.round(longestGapMs),
        tookMs,
        service,
      });
      resolve();
    }

    function refuse(refusal: Refusal): void {
      if (ended) return;
      const closes = context.isLeaving();
      context.metrics.countRefusal(refusal.reason);
      answerRefusal(response, { codec, request, refusal, closes });
      end(refusal.reason);
    }

    function finishTimedOut(): void {
      refuse(
        runs > 0 || leg?.head
          ? { status: 504, reason: "deadline" }
          : { status: 503, reason: "not_taken", retryAfterMs: RETRY_AFTER_MS },
      );
    }

    function choose(): AddressedPart[] | undefined {
      const usable = engines.listUsable(service);
      const model = getModel();
      const { place } = context;
      if (model) {
        const path = choosePath(usable, {
          model,
          place,
          gatewayCount: context.getPlaceGatewayCount(),
          excluded,
          nowMs: now(),
        });
        return path?.some(isFull) ? undefined : path;
      }
      const engine = chooseEngine(usable, {
        place,
        excluded,
        nowMs: now(),
        random: context.random(),
      });
      if (!engine) return undefined;
      const { engineId, address } = engine.record;
      return [{ engineId, address, fromLayer: 0, toLayer: 0 }];
    }

    function isFull({ engineId }: AddressedPart): boolean {
      return (engines.get(engineId)?.fullUntilMs ?? 0) > now();
    }

    function getModel(): LayeredModel | undefined {
      return context.getTable()?.getService(service)?.model;
    }

    function next(): void {
      if (ended) return;
      if (tries >= MAX_TRIES) return giveUp("too many tries");
      const path = choose();
      if (!path) return waitForPath();
      if (tries > 0 && !budget.spend(service)) return giveUp("no budget");
      tries += 1;
      send(path);
    }

    function waitForPath(): void {
      const waitedMs = now() - progressMs;
      const limitMs = response.headersSent
        ? MAX_PATH_WAIT_MS
        : NEW_PATH_WAIT_MS;
      if (waitedMs > limitMs) return giveUp("no path");
      // Engines that were left out for this call may be back by then.
      excluded.clear();
      setTimeout(next, PATH_WAIT_MS);
    }

    function giveUp(reason: string): void {
      log("callGivenUp", { requestId, reason, tries, runs });
      if (response.headersSent || runs > 0) {
        return refuse({ status: 502, reason: "outcome_unknown" });
      }
      refuse({
        status: 503,
        reason: "no_upstream",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }

    function send(path: readonly AddressedPart[]): void {
      const [{ engineId, address }] = path;
      const engine = engines.get(engineId);
      if (!engine) return next();
      const sent: Leg = {
        engine,
        path,
        sentMs: now(),
        exchange: undefined,
        head: undefined,
        isRelaying: false,
      };
      leg = sent;
      progressMs = now();
      countIn(sent);
      const hasLayers = getModel() !== undefined;
      const envelope = {
        deadlineMs: Math.max(1, Math.floor(call.deadlineMs - now())),
        engineId,
        account: call.account?.name,
        lastEventId,
        path: hasLayers ? path : [],
      };
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
        headers: codec.formatUpstreamHeaders(request, envelope),
        body: call.body,
        requestId,
        onHead: (head) => takeHead(sent, head),
        onData(chunk) {
          if (!sent.isRelaying) chunks.push(chunk);
          else for (const event of splitter.take(chunk)) relay(event, sent);
        },
        onEnd(how) {
          countOut(sent);
          if (ended || leg !== sent) return;
          leg = undefined;
          takeEnd(sent, {
            how,
            isCut: splitter.hasRest(),
            body: Buffer.concat(chunks),
          });
        },
      });
    }

    function countIn({ engine, path }: Leg): void {
      engine.inFlight += 1;
      for (const { engineId } of path) {
        const view = engines.get(engineId);
        if (view) view.tokensInFlight += tokens;
      }
    }

    function countOut({ engine, path }: Leg): void {
      engine.inFlight -= 1;
      for (const { engineId } of path) {
        const view = engines.get(engineId);
        if (view) view.tokensInFlight -= tokens;
      }
    }

    function takeHead(sent: Leg, head: UpstreamHead): void {
      sent.head = head;
      sent.isRelaying = head.status === 200 && head.isSigned;
      if (!sent.isRelaying || response.headersSent || ended) return;
      response.writeHead(200, [
        ...head.headers,
        ...(context.isLeaving() ? ["connection", "close"] : []),
      ]);
      response.flushHeaders();
    }

    function relay(
      event: { readonly bytes: Buffer; readonly id: string | undefined },
      sent: Leg,
    ): void {
      if (ended) return;
      const atMs = now();
      if (firstEventMs !== undefined) {
        const pauseMs = atMs - lastEventMs;
        longestGapMs = Math.max(longestGapMs, pauseMs);
        const bearableMs = route.gapObjectiveMs;
        context.pauses.notePause(pauseMs, { bearableMs });
      }
      if (firstEventMs === undefined) {
        firstEventMs = atMs;
        const waitedMs = atMs - call.startedMs;
        context.metrics.timing("requests.first_token_ms", waitedMs);
      }
      lastEventMs = atMs;
      progressMs = atMs;
      if (event.id !== undefined) {
        // A run that goes on may begin with what the caller already has.
        if (!isAfter(event.id, lastEventId)) return;
        lastEventId = event.id;
      }
      eventCount += 1;
      if (response.write(event.bytes)) return;
      sent.exchange?.pause();
      response.once("drain", () => sent.exchange?.resume());
    }

    function takeEnd(
      sent: Leg,
      result: { how: ExchangeEnd; isCut: boolean; body: Buffer },
    ): void {
      const { how, isCut, body } = result;
      const { engineId } = sent.engine.record;
      if (how.type === "notSent") {
        context.metrics.countRetry("connect_failed");
        engines.suspect(engineId, how.reason);
        return next();
      }
      const { head } = sent;
      if (how.type === "complete" && head?.saysNotRun) {
        return takeNotRun(sent, head);
      }
      runs += 1;
      const isWhole = how.type === "complete" && sent.isRelaying && !isCut;
      engines.noteAnswer(engineId, { failed: !isWhole });
      if (isWhole) {
        response.end();
        return end("answered");
      }
      if (how.type === "broken") engines.suspect(engineId, how.reason);
      excluded.add(engineId);
      log("callBroken", {
        requestId,
        engineId,
        how: how.type,
        reason: how.type === "broken" ? how.reason : undefined,
        status: head?.status,
        lastEventId,
        runs,
      });
      // An upstream that is gone no longer counts as one that runs it.
      const mayGoOn = isResumable &&
        runs < route.maxAttempts + (how.type === "broken" ? 1 : 0);
      if (mayGoOn) {
        context.metrics.count("streams.resumed");
        return next();
      }
      passOnFailure(head, how.type === "complete" ? body : undefined);
    }

    function takeNotRun(sent: Leg, head: UpstreamHead): void {
      const { engineId } = sent.engine.record;
      const faulty = head.faultAddress === undefined
        ? engineId
        : sent.path.find((part) => part.address === head.faultAddress)
          ?.engineId ?? engineId;
      excluded.add(faulty);
      const tookMs = now() - sent.sentMs;
      if (head.status === 421 || tookMs > DEAD_REFUSAL_MS) {
        engines.suspect(faulty, `refused with ${head.status}`);
      } else engines.noteFull(faulty);
      context.metrics.countRetry("upstream_refused");
      log("callNotRun", { requestId, faulty, status: head.status, tookMs });
      next();
    }

    function passOnFailure(
      head: UpstreamHead | undefined,
      body: Buffer | undefined,
    ): void {
      const isOwnFailure = head && body && head.status >= 300;
      if (response.headersSent || !isOwnFailure) {
        return refuse({ status: 502, reason: "answer_broken" });
      }
      response.writeHead(head.status, [
        ...head.headers,
        "content-length",
        String(body.length),
      ]);
      response.end(body);
      end("answered");
    }

    function checkStall(): void {
      const silentMs = now() - progressMs;
      if (!leg || checking || silentMs < STALL_CHECK_MS) return;
      if (!isResumable || !getModel()) return;
      checking = true;
      void askFirstEngine(leg).finally(() => {
        checking = false;
      });
    }

    async function askFirstEngine(asked: Leg): Promise<void> {
      const { address, engineId } = asked.engine.record;
      const sinceMs = progressMs;
      let stalledAt: string | undefined;
      try {
        const stalled = await context.stallWatch.ask(address);
        stalledAt = stalled.find((one) => one.requestId === requestId)?.address;
      } catch (error) {
        log("engineAsked", { requestId, engineId, error });
        if (leg !== asked || ended || progressMs !== sinceMs) return;
        engines.suspect(engineId, "no report");
        return moveOn(asked, "first engine silent");
      }
      if (leg !== asked || ended || stalledAt === undefined) return;
      await changePath(asked, stalledAt);
    }

    async function changePath(asked: Leg, stalledAt: string): Promise<void> {
      const dead = asked.path.find((part) => part.address === stalledAt);
      if (!dead || dead === asked.path[0]) return moveOn(asked, "stalled");
      engines.suspect(dead.engineId, "stands still");
      excluded.add(dead.engineId);
      const path = findDetour(asked);
      const moved = path !== undefined && await context.engineControl
        .changePath(asked.engine.record.address, {
          requestId,
          path,
          timeoutMs: ENGINE_CONTROL_TIMEOUT_MS,
        });
      log("pathChanged", { requestId, dead: dead.engineId, moved });
      if (leg !== asked || ended) return;
      if (!moved || !path) return moveOn(asked, "no detour near");
      countOut(asked);
      asked.path = path;
      countIn(asked);
      progressMs = now();
      context.metrics.count("paths.changed");
    }

    function findDetour(asked: Leg): AddressedPart[] | undefined {
      const model = getModel();
      const [first] = asked.path;
      if (!model) return undefined;
      const rest = choosePath(engines.listUsable(service), {
        model,
        place: asked.engine.record.place,
        gatewayCount: context.getPlaceGatewayCount(),
        excluded: new Set([...excluded, first.engineId]),
        nowMs: now(),
        fromLayer: first.toLayer,
      });
      // Through another data centre every token read so far would cross the
      // pipe that all share: to read anew in one place takes far less.
      const { place } = asked.engine.record;
      const isNear = rest?.every(({ engineId }) =>
        engines.get(engineId)?.record.place === place
      );
      return rest && isNear ? [first, ...rest] : undefined;
    }

    function moveOn(from: Leg, reason: string): void {
      excluded.add(from.engine.record.engineId);
      from.exchange?.abort(reason);
    }

    next();
  });
}

function isAfter(id: string, last: string | undefined): boolean {
  if (last === undefined || last === "") return true;
  return Number(id) > Number(last);
}
