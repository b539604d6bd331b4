/**
 * A stand-in for an engine on the platform: registers by heartbeat, holds a range of
 * layers, streams events over a path and carries out orders.
 *
 * It does not forward the work to the other engines of a path: the first engine makes
 * all events itself.
 *
 * @module
 */

import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { ENGINE_CALL, HEADER } from "../platform/names.ts";
import { sendHeartbeat } from "./send_beat.ts";

/** Faults that a test can inject into a running engine. */
export interface LayerEngineFault {
  /** Number of events after which one stream is reset. */
  resetAfterEvents?: number;
  /** Writes part of the next event before it resets the stream. */
  cutsEvent?: boolean;
  /** Ms until it answers plain requests; 0 by default. */
  answerDelayMs?: number;
  /** Least bytes of its answers to plain requests. */
  answerBytes?: number;
  /** Runs plain requests, then closes their connections without an answer. */
  dropsAnswers?: boolean;
  /** Answers plain requests with the id of another one. */
  swapsIds?: boolean;
  /** Sends answers with neither a length nor chunks; they end with the connection. */
  omitsFraming?: boolean;
  /**
   * Makes the bytes of an answer, behind which the connection is closed in order. With
   * `changesIdOnRestart` the engine has another id from then on, as if its process had
   * ended and another one had started at once.
   */
  answersWith?: (requestId: string) => string;
  /** Closes its connections in order when it crashes, as if its answers had ended. */
  closesOnCrash?: boolean;
  /** Accepts requests and never answers. */
  hangs?: boolean;
  /**
   * Stands still as a suspended process does: accepts connections, reads and sends
   * nothing, and goes on with all of it once this is unset.
   */
  isPaused?: boolean;
  /** Rejects all requests as full. */
  isFull?: boolean;
  /** Rejects all requests with these lines of `Retry-After`. */
  rejectsWithRetryAfter?: readonly string[];
  /** Delay of such a rejection, in ms. */
  refusalDelayMs?: number;
  /** Announces in all its answers that it leaves. */
  announcesLeaving?: boolean;
  /** Announces a rate limit in answers to requests: the lines of the header field. */
  announcesLimit?: readonly string[];
  /** Omits the limit from answers that reject as full. */
  hidesLimitWhenFull?: boolean;
  /** Announces the limit in answers to status queries and orders too. */
  announcesLimitToAll?: boolean;
  /** Address of an engine; while set, all streams here stall waiting for it. */
  stalledFor?: string;
  /** Omits stalled streams from its reports. */
  hidesStalled?: boolean;
  /** Delays, in ms, of its next status reports, one each. */
  reportDelaysMs?: number[];
  /** Delay, in ms, of its answers to orders. */
  orderDelayMs?: number;
  /** Crashes when it starts to run a request with one of these bodies. */
  crashesOnBodies?: readonly string[];
  /**
   * Crashes when it starts to run a request whose prompt has one of these parts, the
   * last one excepted.
   */
  crashesOnParts?: readonly string[];
  /** Ms after which it restarts; if absent, it stays down. */
  restartsAfterMs?: number;
  /** Restarts under a new id instead of the same one. */
  changesIdOnRestart?: boolean;
}

/** Options of {@link startLayerEngine}. */
export interface StartLayerEngineOptions {
  readonly service: string;
  readonly place: string;
  /** Control processes that get the heartbeats; tried in order. */
  readonly controlAddresses: readonly string[];
  /** Kind of card; absent for a plain service. */
  readonly card?: string;
  readonly heartbeatPeriodMs?: number;
  /** Ms between two events. */
  readonly eventIntervalMs?: number;
  /** Events of an answer. */
  readonly events?: number;
  /** Ms until the first event, as for reading the prompt; 0 by default. */
  readonly prefillMs?: number;
  /** Id of the engine; by default one that is unique in this process. */
  readonly engineId?: string;
  /** Connections that wait to be accepted; the runtime's default is 511. */
  readonly backlog?: number;
}

/** A running stand-in. */
export interface LayerEngine extends AsyncDisposable {
  readonly engineId: string;
  readonly address: string;
  readonly fault: LayerEngineFault;
  /** All calls that reached it, in order: requests, status queries and orders. */
  readonly arrivals: readonly EngineArrival[];
  /** Requests that it ran, in order. */
  readonly runs: readonly EngineRun[];
  getRange(): readonly [number, number];
  /** Paths of the running streams that start here, as in the header. */
  getPaths(): readonly string[];
  /** Announces leaving in its heartbeats; resolves once one is acknowledged. */
  drain(): Promise<void>;
  /** Stops abruptly and for good. */
  crash(): Promise<void>;
  /** Crashes caused by requests, in order. */
  readonly crashes: readonly EngineCrash[];
  /** Stops abruptly, and restarts if `restartsAfterMs` is set. */
  failAndRestart(): Promise<void>;
}

/** A call that reached the engine. */
export interface EngineArrival {
  readonly type: "request" | "question" | "order";
  /** Time of arrival, in ms of the monotonic clock. */
  readonly atMs: number;
  /** Id of the request; empty for other calls. */
  readonly requestId: string;
  /** Start of the engine's incarnation that it reached, in Unix ms. */
  readonly incarnationStartMs: number;
  /** Lines of `Retry-After` in the rejection. */
  sentRetryAfter?: readonly string[];
  /** Whether the answer announced that the engine leaves. */
  readonly announcedLeaving: boolean;
  /** Lines of the rate limit that the answer announced. */
  readonly announcedLimit?: readonly string[];
}

/** A crash caused by a request. */
export interface EngineCrash {
  /** The request's body. */
  readonly body: string;
  /** Part of the prompt that caused it, if one did. */
  readonly part?: string;
  /** Time of the crash, in ms of the monotonic clock. */
  readonly atMs: number;
}

/** One run of a request by the engine. */
export interface EngineRun {
  readonly requestId: string;
  readonly account: string | undefined;
  readonly priority: string | undefined;
  readonly lastEventId: string | undefined;
  /** Path and query. */
  readonly target: string;
  readonly body: string;
  /** Whether the caller's connection closed before its end. */
  wasCut: boolean;
}

let nextEngine = 0;

/**
 * Starts a stand-in for an engine.
 *
 * @param options - Its service, place, card and control processes.
 * @returns The engine.
 * @throws {Error} When no port is free.
 * @example
 * await using engine = await startLayerEngine(options);
 */
export async function startLayerEngine(
  options: StartLayerEngineOptions,
): Promise<LayerEngine> {
  const {
    service,
    place,
    card,
    heartbeatPeriodMs = 200,
    eventIntervalMs = 5,
    events = 20,
    prefillMs = 0,
  } = options;
  nextEngine += 1;
  let engineId = options.engineId ?? `i-${nextEngine}`;
  const fault: LayerEngineFault = {};
  const runs: EngineRun[] = [];
  const arrivals: EngineArrival[] = [];
  const sockets = new Set<Socket>();
  const paths = new Map<string, string>();
  let range: readonly [number, number] = [0, 0];
  let orders = 0;
  let sequence = 0;
  let state = "ready";
  let closed = false;
  let isDown = false;
  const crashes: EngineCrash[] = [];
  let incarnationStartMs = Date.now();
  let onDrained: (() => void) | undefined;

  const server = createServer((message, response) => {
    const chunks: Uint8Array[] = [];
    message.on("data", (chunk: Uint8Array) => chunks.push(chunk));
    message.on("end", async () => {
      await waitWhilePaused();
      const body = new TextDecoder().decode(joinBytes(chunks));
      const { url = "", headers } = message;
      const arrival = noteArrival(url, headers[HEADER.requestId] ?? "");
      if (arrival.announcedLeaving) response.setHeader(HEADER.leaving, "1");
      const { announcedLimit } = arrival;
      if (announcedLimit) response.setHeader(HEADER.rateLimit, announcedLimit);
      if (url === ENGINE_CALL.report) {
        const delayMs = fault.reportDelaysMs?.shift() ?? 0;
        return void setTimeout(() => sendReport(response), delayMs);
      }
      if (url === ENGINE_CALL.order) {
        const delayMs = fault.orderDelayMs ?? 0;
        return void setTimeout(() => handleOrder(response, body), delayMs);
      }
      const get = (name: string) => headers[name] as string | undefined;
      void handleRequest(response, { get, body, target: url, arrival }).catch(
        () => response.destroy(),
      );
    });
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
  });
  const { backlog } = options;
  await new Promise<void>((resolve) =>
    server.listen({ port: 0, host: "127.0.0.1", backlog }, resolve)
  );
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;

  async function waitWhilePaused(): Promise<void> {
    while (fault.isPaused && !closed) await sleep(5);
  }

  function noteArrival(url: string, requestId: string | string[]) {
    const type = getArrivalType(url);
    const arrival: EngineArrival = {
      type,
      atMs: performance.now(),
      requestId: String(requestId),
      incarnationStartMs,
      announcedLeaving: fault.announcesLeaving === true,
      announcedLimit: type === "request" || fault.announcesLimitToAll
        ? fault.announcesLimit
        : undefined,
    };
    arrivals.push(arrival);
    return arrival;
  }

  function sendReport(response: ServerResponse): void {
    const stalled = fault.stalledFor === undefined || fault.hidesStalled
      ? []
      : [...paths.keys()].map((id) => ({ id, address: fault.stalledFor }));
    sendJson(response, { status: 200, body: { stalled, seq: orders } });
  }

  function handleOrder(response: ServerResponse, body: string): void {
    const order = JSON.parse(body);
    orders += 1;
    if (order.operation === "place") {
      range = [order.from, order.targetVersion];
      return sendJson(response, { status: 202, body: {} });
    }
    if (!paths.has(order.id)) {
      return sendJson(response, { status: 404, body: {} });
    }
    paths.set(order.id, order.path);
    if (!order.path.includes(fault.stalledFor)) fault.stalledFor = undefined;
    sendJson(response, { status: 200, body: {} });
  }

  async function handleRequest(
    response: ServerResponse,
    options: {
      get: (name: string) => string | undefined;
      body: string;
      target: string;
      arrival: EngineArrival;
    },
  ): Promise<void> {
    const { get, body, arrival } = options;
    const requestId = get(HEADER.requestId) ?? "";
    const own = { [HEADER.requestId]: requestId };
    if (get(HEADER.expectedEngine) !== engineId) {
      response.writeHead(421, { ...own, [HEADER.notRun]: "1" }).end();
      return;
    }
    if (fault.rejectsWithRetryAfter) {
      if (fault.refusalDelayMs) await sleep(fault.refusalDelayMs);
      arrival.sentRetryAfter = fault.rejectsWithRetryAfter;
      response.setHeader(HEADER.retryAfter, fault.rejectsWithRetryAfter);
      response.writeHead(503, { ...own, [HEADER.notRun]: "1" }).end();
      return;
    }
    if (fault.isFull) {
      if (fault.hidesLimitWhenFull) response.removeHeader(HEADER.rateLimit);
      response.writeHead(503, { ...own, [HEADER.notRun]: "1" }).end();
      return;
    }
    const run: EngineRun = {
      requestId,
      account: get(HEADER.account),
      priority: get(HEADER.requestPriority),
      lastEventId: get(HEADER.lastEventId),
      target: options.target,
      body,
      wasCut: false,
    };
    runs.push(run);
    if (fault.omitsFraming) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.on("close", () => {
      run.wasCut = !response.writableFinished;
    });
    // A crash under way covers requests that arrive before the connections close.
    if (isDown) return;
    const part = findCrashingPart(get(HEADER.promptParts));
    if (part !== undefined || fault.crashesOnBodies?.includes(body)) {
      crashes.push({ body, part, atMs: performance.now() });
      return await crashDuringAnswer(response, requestId);
    }
    if (fault.answersWith) {
      response.socket?.end(fault.answersWith(requestId));
      if (fault.changesIdOnRestart) {
        nextEngine += 1;
        engineId = `i-${nextEngine}`;
        for (const socket of sockets) socket.destroySoon();
      }
      return;
    }
    if (fault.hangs) return;
    if (card !== undefined) return await stream(response, { run, get });
    if (fault.answerDelayMs) await sleep(fault.answerDelayMs);
    if (fault.dropsAnswers) {
      response.destroy();
      return;
    }
    const id = fault.swapsIds ? "another" : requestId;
    const text = `answer to ${requestId}`.padEnd(fault.answerBytes ?? 0);
    response.writeHead(200, {
      [HEADER.requestId]: id,
      [HEADER.signature]: "s",
      ...(fault.omitsFraming ? {} : { "content-length": text.length }),
    }).end(text);
  }

  function findCrashingPart(header = ""): string | undefined {
    const ids = header.split(",").map((one) => one.split(":")[0]);
    return ids.slice(0, -1).find((id) => fault.crashesOnParts?.includes(id));
  }

  async function crashDuringAnswer(
    response: ServerResponse,
    requestId: string,
  ): Promise<void> {
    isDown = true;
    response.writeHead(200, {
      [HEADER.requestId]: requestId,
      [HEADER.signature]: "s",
      "content-type": "text/event-stream",
    });
    response.flushHeaders();
    // Lets the response head leave before the connection breaks.
    await sleep(5);
    await restart();
  }

  // The new incarnation starts without layers, paths and counters.
  async function restart(): Promise<void> {
    isDown = true;
    endConnections();
    await new Promise((resolve) => server.close(resolve));
    if (fault.restartsAfterMs === undefined) return;
    await sleep(fault.restartsAfterMs);
    if (closed) return;
    range = [0, 0];
    orders = 0;
    sequence = 0;
    paths.clear();
    incarnationStartMs = Date.now();
    if (fault.changesIdOnRestart) {
      nextEngine += 1;
      engineId = `i-${nextEngine}`;
    }
    await new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", resolve)
    );
    isDown = false;
  }

  function endConnections(): void {
    for (const socket of sockets) {
      if (fault.closesOnCrash) socket.destroySoon();
      else socket.resetAndDestroy();
    }
  }

  async function stream(
    response: ServerResponse,
    options: { run: EngineRun; get: (name: string) => string | undefined },
  ): Promise<void> {
    const { run, get } = options;
    const { requestId, lastEventId } = run;
    paths.set(requestId, get(HEADER.path) ?? "");
    response.writeHead(200, {
      [HEADER.requestId]: requestId,
      [HEADER.signature]: "s",
      "content-type": "text/event-stream",
    });
    if (prefillMs > 0) {
      response.flushHeaders();
      await sleep(prefillMs);
    }
    let sentCount = 0;
    for (let id = Number(lastEventId ?? 0) + 1; id <= events; id++) {
      await sleep(eventIntervalMs);
      while (fault.stalledFor !== undefined && !closed) await sleep(5);
      await waitWhilePaused();
      if (response.destroyed) break;
      if (sentCount === fault.resetAfterEvents) {
        fault.resetAfterEvents = undefined;
        if (fault.cutsEvent) response.write(`id: ${id}\nda`);
        await sleep(5);
        response.destroy();
        break;
      }
      response.write(`id: ${id}\ndata: token ${id}\n\n`);
      sentCount += 1;
    }
    paths.delete(requestId);
    response.end();
  }

  async function sendNextHeartbeat(): Promise<void> {
    sequence += 1;
    const [from, targetVersion] = range;
    const sentState = state;
    const body = {
      service,
      address,
      zone: place,
      version: "v1",
      slots: 8,
      state,
      coldLeftMs: 0,
      seq: sequence,
      born: incarnationStartMs,
      ...(card === undefined ? {} : {
        routeType: card,
        models: [{ name: "m", version: 1, adapters: [] }],
        layers: { from, targetVersion, version: 1 },
      }),
    };
    const { controlAddresses } = options;
    const isAcknowledged = await sendHeartbeat({
      engineId,
      body,
      controlAddresses,
    });
    if (isAcknowledged && sentState === "draining") onDrained?.();
  }

  async function sendHeartbeats(): Promise<void> {
    while (!closed) {
      await waitWhilePaused();
      if (!isDown) await sendNextHeartbeat();
      await sleep(heartbeatPeriodMs);
    }
  }
  const heartbeats = sendHeartbeats();

  async function crash(): Promise<void> {
    closed = true;
    endConnections();
    await new Promise((resolve) => server.close(resolve));
    await heartbeats;
  }

  return {
    get engineId() {
      return engineId;
    },
    address,
    fault,
    arrivals,
    runs,
    getRange: () => range,
    getPaths: () => [...paths.values()],
    drain() {
      state = "draining";
      return new Promise((resolve) => {
        onDrained = resolve;
      });
    },
    crash,
    crashes,
    async failAndRestart() {
      if (!isDown) await restart();
    },
    async [Symbol.asyncDispose]() {
      if (!closed) await crash();
    },
  };
}

function getArrivalType(url: string): EngineArrival["type"] {
  if (url === ENGINE_CALL.report) return "question";
  return url === ENGINE_CALL.order ? "order" : "request";
}

function joinBytes(chunks: readonly Uint8Array[]): Uint8Array {
  const size = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  const joined = new Uint8Array(size);
  let at = 0;
  for (const chunk of chunks) {
    joined.set(chunk, at);
    at += chunk.length;
  }
  return joined;
}

function sendJson(
  response: ServerResponse,
  answer: { status: number; body: object },
): void {
  response.writeHead(answer.status, { "content-type": "application/json" });
  response.end(JSON.stringify(answer.body));
}
