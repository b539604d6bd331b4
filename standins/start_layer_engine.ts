/**
 * A stand-in of an engine on the users' platform: registers by heartbeat,
 * holds a range of layers, streams events over a path, obeys orders.
 *
 * It does not pass the work on: as the first engine of a path it asks the
 * others whether they hold their parts, and makes the events itself.
 *
 * @module
 */

import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { ENGINE_CALL, HEADER } from "../platform/names.ts";
import { sendBeat } from "./send_beat.ts";

/** What an engine does wrong from now on. */
export interface LayerEngineFault {
  /** Resets a stream after so many of its events, once. */
  resetAfterEvents?: number;
  /** Cuts the event after which it resets in two. */
  cutsEvent?: boolean;
  /** Closes plain requests without an answer, after it ran them. */
  losesAnswers?: boolean;
  /** Answers plain requests with the id of another one. */
  mixesIds?: boolean;
  /** Takes requests and never answers. */
  hangs?: boolean;
  /** Refuses all requests as full. */
  isFull?: boolean;
  /** Turns all requests away and asks for rest: its lines of `Retry-After`. */
  asksForRest?: readonly string[];
  /** Ms before it turns one away. */
  refusalDelayMs?: number;
  /** Says in all its answers that it leaves. */
  saysLeaving?: boolean;
  /** Names a rate limit in its answers to requests: its lines of the field. */
  namesLimit?: readonly string[];
  /** Names no limit where it refuses as full. */
  hidesLimitWhenFull?: boolean;
  /** Names its limit in answers to questions and orders too. */
  namesLimitToAll?: boolean;
  /** Address of an engine for which all streams here wait. */
  stalledFor?: string;
  /** Leaves the streams that wait out of its reports. */
  hidesStalled?: boolean;
  /** Ends at once when it begins to run a request with one of these bodies. */
  crashesOnBodies?: readonly string[];
  /** Ms after which it starts again under its id; it stays down without. */
  restartsAfterMs?: number;
}

/** Options of {@link startLayerEngine}. */
export interface StartLayerEngineOptions {
  readonly service: string;
  readonly place: string;
  /** Where beats go; tried in turn. */
  readonly controlAddresses: readonly string[];
  /** Kind of card; absent for a plain service. */
  readonly card?: string;
  readonly beatIntervalMs?: number;
  /** Ms between two events. */
  readonly eventIntervalMs?: number;
  /** Events of an answer. */
  readonly events?: number;
}

/** A running stand-in. */
export interface LayerEngine extends AsyncDisposable {
  readonly engineId: string;
  readonly address: string;
  readonly fault: LayerEngineFault;
  /** All that reached it, in order: requests, questions and orders. */
  readonly arrivals: readonly EngineArrival[];
  /** Ids of the requests that it ran, with their headers. */
  readonly runs: readonly EngineRun[];
  getRange(): readonly [number, number];
  /** Paths of the streams that began here, as their headers wrote them. */
  getPaths(): readonly string[];
  /** Says in its beats that it leaves; resolves once one is acknowledged. */
  drain(): Promise<void>;
  /** Ends without a word. */
  crash(): Promise<void>;
  /** Requests by which it ended, in order. */
  readonly crashes: readonly EngineCrash[];
  /** Ends without a word, and starts again as its fault says. */
  fail(): Promise<void>;
}

/** Something that reached it. */
export interface EngineArrival {
  readonly type: "request" | "question" | "order";
  /** When it came, in ms of the runtime's steady clock. */
  readonly atMs: number;
  /** Id of the request; empty for what is none. */
  readonly requestId: string;
  /** Start of the engine's run that it reached, in Unix ms. */
  readonly bornMs: number;
  /** Lines of `Retry-After` with which it was turned away. */
  askedForRest?: readonly string[];
  /** Whether the answer said that the engine leaves. */
  readonly toldLeave: boolean;
  /** Lines of the rate limit that the answer named. */
  readonly namedLimit?: readonly string[];
}

/** An end under a request. */
export interface EngineCrash {
  /** The request's body. */
  readonly body: string;
  /** When it was, in ms of the runtime's steady clock. */
  readonly atMs: number;
}

/** One run of a request. */
export interface EngineRun {
  readonly requestId: string;
  readonly account: string | undefined;
  readonly lastEventId: string | undefined;
  /** Path and query. */
  readonly target: string;
  readonly body: string;
  /** Whether the caller's connection closed before its end. */
  wasCut: boolean;
}

let nextEngine = 0;

/**
 * Starts a stand-in of an engine.
 *
 * @param options - Its service, place, card, and where its beats go.
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
    beatIntervalMs = 200,
    eventIntervalMs = 5,
    events = 20,
  } = options;
  nextEngine += 1;
  const engineId = `i-${nextEngine}`;
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
  let bornMs = Date.now();
  let onDrained: (() => void) | undefined;

  const server = createServer((message, response) => {
    const chunks: Uint8Array[] = [];
    message.on("data", (chunk: Uint8Array) => chunks.push(chunk));
    message.on("end", () => {
      const body = new TextDecoder().decode(joinBytes(chunks));
      const { url = "", headers } = message;
      const arrival = noteArrival(url, headers[HEADER.requestId] ?? "");
      if (arrival.toldLeave) response.setHeader(HEADER.leaving, "1");
      const { namedLimit } = arrival;
      if (namedLimit) response.setHeader(HEADER.rateLimit, namedLimit);
      if (url === ENGINE_CALL.report) return report(response);
      if (url === ENGINE_CALL.order) return obey(response, body);
      const get = (name: string) => headers[name] as string | undefined;
      void serve(response, { get, body, target: url, arrival }).catch(() =>
        response.destroy()
      );
    });
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;

  function noteArrival(url: string, requestId: string | string[]) {
    const type = getArrivalType(url);
    const arrival: EngineArrival = {
      type,
      atMs: performance.now(),
      requestId: String(requestId),
      bornMs,
      toldLeave: fault.saysLeaving === true,
      namedLimit: type === "request" || fault.namesLimitToAll
        ? fault.namesLimit
        : undefined,
    };
    arrivals.push(arrival);
    return arrival;
  }

  function report(response: ServerResponse): void {
    const stalled = fault.stalledFor === undefined || fault.hidesStalled
      ? []
      : [...paths.keys()].map((id) => ({ id, address: fault.stalledFor }));
    sendJson(response, { status: 200, body: { stalled, seq: orders } });
  }

  function obey(response: ServerResponse, body: string): void {
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

  async function serve(
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
    if (fault.asksForRest) {
      if (fault.refusalDelayMs) await sleep(fault.refusalDelayMs);
      arrival.askedForRest = fault.asksForRest;
      response.setHeader(HEADER.retryAfter, fault.asksForRest);
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
      lastEventId: get(HEADER.lastEventId),
      target: options.target,
      body,
      wasCut: false,
    };
    runs.push(run);
    response.on("close", () => {
      run.wasCut = !response.writableFinished;
    });
    // It ends once, whatever else comes before its connections are gone.
    if (isDown) return;
    if (fault.crashesOnBodies?.includes(body)) {
      crashes.push({ body, atMs: performance.now() });
      return await crashUnder(response, requestId);
    }
    if (fault.hangs) return;
    if (card !== undefined) return await stream(response, { run, get });
    if (fault.losesAnswers) {
      response.destroy();
      return;
    }
    const id = fault.mixesIds ? "another" : requestId;
    const text = `answer to ${requestId}`;
    response.writeHead(200, {
      [HEADER.requestId]: id,
      [HEADER.signature]: "s",
      "content-length": text.length,
    }).end(text);
  }

  async function crashUnder(
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
    // The head of its answer is on its way before the connection breaks.
    await sleep(5);
    await restart();
  }

  // What it held and counted is forgotten when it starts again.
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
    bornMs = Date.now();
    await new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", resolve)
    );
    isDown = false;
  }

  function endConnections(): void {
    for (const socket of sockets) socket.resetAndDestroy();
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
    let made = 0;
    for (let id = Number(lastEventId ?? 0) + 1; id <= events; id++) {
      await sleep(eventIntervalMs);
      while (fault.stalledFor !== undefined && !closed) await sleep(5);
      if (response.destroyed) break;
      if (made === fault.resetAfterEvents) {
        fault.resetAfterEvents = undefined;
        if (fault.cutsEvent) response.write(`id: ${id}\nda`);
        await sleep(5);
        response.destroy();
        break;
      }
      response.write(`id: ${id}\ndata: token ${id}\n\n`);
      made += 1;
    }
    paths.delete(requestId);
    response.end();
  }

  async function beat(): Promise<void> {
    sequence += 1;
    const [from, targetVersion] = range;
    const said = state;
    const body = {
      service,
      address,
      zone: place,
      version: "v1",
      slots: 8,
      state,
      coldLeftMs: 0,
      seq: sequence,
      born: bornMs,
      ...(card === undefined ? {} : {
        routeType: card,
        models: [{ name: "m", version: 1, adapters: [] }],
        layers: { from, targetVersion, version: 1 },
      }),
    };
    const { controlAddresses } = options;
    const isTaken = await sendBeat({ engineId, body, controlAddresses });
    if (isTaken && said === "draining") onDrained?.();
  }

  async function keepBeating(): Promise<void> {
    while (!closed) {
      if (!isDown) await beat();
      await sleep(beatIntervalMs);
    }
  }
  const beating = keepBeating();

  async function crash(): Promise<void> {
    closed = true;
    endConnections();
    await new Promise((resolve) => server.close(resolve));
    await beating;
  }

  return {
    engineId,
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
    async fail() {
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
