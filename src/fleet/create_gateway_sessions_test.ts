import { EventEmitter } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EngineRecord } from "../engines/index.ts";
import { until } from "../../demo/until.ts";
import { decodeConfig } from "../../platform/decode_config.ts";
import { makeLargeWireConfig } from "../../standins/index.ts";
import { createMetrics } from "../metrics/index.ts";
import { wire } from "../wire/index.ts";
import { createConfigHistory } from "./create_config_history.ts";
import { createEngineNumbers } from "./create_engine_numbers.ts";
import { createGatewaySessions } from "./create_gateway_sessions.ts";
import type {
  GatewayMessage,
  GatewayRecord,
  LeaderMessage,
} from "./messages.ts";
import { packDocument } from "./pack_document.ts";
import {
  formatGatewayMessage,
  parseLeaderMessage,
} from "./session_messages.ts";

type SessionStream = Parameters<
  ReturnType<typeof createGatewaySessions>["handleSession"]
>[0];

const ENGINES: readonly EngineRecord[] = ["e0", "e1"].map((engineId) => ({
  engineId,
  service: "model",
  address: `${engineId}:80`,
  place: "a",
  slots: 4,
  isLeaving: false,
}));

/** A gateway's end of a session. */
class FakeStream extends EventEmitter {
  readonly received: LeaderMessage[] = [];
  readonly numbers = createEngineNumbers();
  receivedBytes = 0;
  readonly writableLength = 0;

  write(message: wire.FleetMessage): void {
    this.receivedBytes += wire.FleetMessage.encode(message).finish().length;
    this.received.push(parseLeaderMessage(message, this.numbers));
  }

  sendMetadata(): void {}

  end(): void {
    this.emit("close");
  }

  send(message: GatewayMessage): void {
    this.emit("data", formatGatewayMessage(message, this.numbers));
  }

  takeUpdates(): LeaderMessage[] {
    return this.received.splice(0)
      .filter(({ type }) => type === "gateways" || type === "loads");
  }
}

function makeSessions(
  engines = ENGINES,
  overrides: Partial<Parameters<typeof createGatewaySessions>[0]> = {},
) {
  const history = createConfigHistory({ decodeConfig });
  return createGatewaySessions({
    isLeader: () => true,
    hasLease: () => true,
    confirmRead: () => Promise.resolve(),
    getLeaderAddress: () => "",
    getControlAddresses: () => [],
    getAcceptedConfig: () => undefined,
    history,
    getEngines: () => engines,
    getDepartures: () => ({ gone: [] }),
    knowsAllEngines: () => true,
    knowsAllGateways: () => true,
    retryLender: { handleReports: () => Promise.resolve({}) },
    quarantine: {
      take: () => {},
      grantTrial: () => undefined,
      list: () => [],
    },
    limits: { take: () => {}, grant: () => [], list: () => [] },
    onSuspectedEngines: () => {},
    onSlowEngines: () => {},
    onLeavingEngines: () => {},
    now: () => 0,
    log: () => {},
    metrics: createMetrics(),
    ...overrides,
  });
}

function makeGateway(vm: string, place = "a"): GatewayRecord {
  return { vm, place, address: `${vm}:1`, isReady: true };
}

async function join(
  sessions: ReturnType<typeof makeSessions>,
  vm: string,
  version = -1,
  options: { readonly knowsGateways?: boolean; readonly place?: string } = {},
): Promise<FakeStream> {
  const stream = new FakeStream();
  sessions.handleSession(stream as unknown as SessionStream);
  const { place, ...knowledge } = options;
  const gateway = makeGateway(vm, place);
  stream.send({ type: "hello", gateway, version, sentMs: 0, ...knowledge });
  await new Promise((resolve) => setImmediate(resolve));
  return stream;
}

function makeAccepted(version: number, options: { routes: number }) {
  const document = JSON.stringify(makeLargeWireConfig(version, options));
  return { version, packed: packDocument(document) };
}

/** Gets the version of the configuration that a gateway received last. */
function getReceivedVersion(
  received: readonly LeaderMessage[],
): number | undefined {
  const latest = received.findLast(({ type }) =>
    type === "config" || type === "configChange"
  );
  return latest && "version" in latest ? latest.version : undefined;
}

const BEAT = { type: "beat", sentMs: 0, suspects: [] } as const;

// Guards against a gateway that missed an upstream's departure at a change of the leader:
// an incomplete list removes only the upstreams that it names.
test("an incomplete list of engines names the departed ones", async () => {
  const departures = { gone: ["e8", "e9"], serving: ["e8"] };
  for (const isWhole of [false, true]) {
    const sessions = makeSessions(ENGINES, {
      knowsAllEngines: () => isWhole,
      getDepartures: () => departures,
    });
    const { received } = await join(sessions, "g1");
    const list = received.find(({ type }) => type === "engines");
    assert.ok(list?.type === "engines" && list.isWhole === isWhole);
    assert.equal(list.gone, isWhole ? [] : departures.gone);
    assert.equal(list.serving ?? [], isWhole ? [] : departures.serving);
  }
});

test("gateways that change together are published in one message", async () => {
  const sessions = makeSessions();
  const streams = [];
  for (const vm of ["g1", "g2", "g3"]) streams.push(await join(sessions, vm));
  sessions.tick();
  for (const stream of streams) stream.takeUpdates();
  streams[0].send({ ...BEAT, isReady: false });
  streams[1].send({ ...BEAT, isReady: false });
  sessions.tick();
  sessions.tick();
  const [update, ...rest] = streams[2].takeUpdates();
  assert.equal(rest, []);
  assert.ok(update.type === "gateways" && !update.isWhole);
  assert.equal(update.gateways.map(({ vm }) => vm), ["g1", "g2"]);
  streams[0].end();
  sessions.tick();
  const [departure] = streams[2].takeUpdates();
  assert.ok(departure.type === "gateways");
  assert.equal(departure.gone, ["g1"]);
  assert.equal(departure.gateways, []);
});

test("a gateway that left before it was welcomed doesn't end its newer session", async () => {
  const events: unknown[] = [];
  const confirmed: (() => void)[] = [];
  const sessions = makeSessions(ENGINES, {
    confirmRead: () => new Promise((resolve) => confirmed.push(resolve)),
    log: (event) => void events.push(event),
  });
  const closed = await join(sessions, "g1");
  const newer = await join(sessions, "g1");
  closed.end();
  confirmed.reverse().forEach((confirm) => confirm());
  await until("it is welcomed", () => newer.received.length > 0);
  newer.send({ ...BEAT, isReady: true });
  assert.is(newer.received.at(-1)?.type, "beatAck");
  assert.equal(events, ["gatewayJoined"]);
});

test("a new gateway receives the full list, the others only the change", async () => {
  const sessions = makeSessions();
  const first = await join(sessions, "g1");
  sessions.tick();
  first.takeUpdates();
  const second = await join(sessions, "g2");
  const [fullList] = second.takeUpdates();
  assert.ok(fullList.type === "gateways" && fullList.isWhole);
  assert.equal(fullList.gateways.map(({ vm }) => vm), ["g1", "g2"]);
  assert.equal(first.takeUpdates(), []);
  sessions.tick();
  const [joined] = first.takeUpdates();
  assert.ok(joined.type === "gateways" && !joined.isWhole);
  assert.equal(joined.gateways.map(({ vm }) => vm), ["g2"]);
});

// Gateways divide fleet-wide limits by the number of gateways that they know, so a
// partial list would give each too large a share.
test("a gateway that starts with the fleet receives no partial list of gateways", async () => {
  const sessions = makeSessions(ENGINES, { knowsAllGateways: () => false });
  const first = await join(sessions, "g1", -1, { knowsGateways: false });
  sessions.tick();
  assert.equal(first.takeUpdates(), []);
  assert.is(sessions.getPublishedGateways(), undefined);
});

test("a gateway that starts under a new leader receives the recorded gateways", async () => {
  const sessions = makeSessions(ENGINES, { knowsAllGateways: () => false });
  const recorded = ["g1", "g2"].map((vm) => makeGateway(vm));
  sessions.awaitGateways(recorded);
  const returned = await join(sessions, "g1", -1, { knowsGateways: true });
  const started = await join(sessions, "g3", -1, { knowsGateways: false });
  assert.equal(returned.takeUpdates(), []);
  const [fullList] = started.takeUpdates();
  assert.ok(fullList.type === "gateways" && fullList.isWhole);
  assert.equal(fullList.gateways.map(({ vm }) => vm), ["g1", "g2", "g3"]);
});

test("all gateways receive the sum of their loads once, when it has changed", async () => {
  const sessions = makeSessions();
  const streams = [await join(sessions, "g1"), await join(sessions, "g2")];
  sessions.tick();
  for (const stream of streams) stream.takeUpdates();
  const loads = { e1: { tokens: 5, requests: 1 } };
  for (const stream of streams) stream.send({ ...BEAT, isReady: true, loads });
  sessions.publishLoads();
  sessions.publishLoads();
  const sum = {
    type: "loads",
    loads: { e1: { tokens: 10, requests: 2 } },
    activity: {},
  };
  assert.equal(streams[0].takeUpdates(), [sum]);
  assert.equal(streams[1].takeUpdates(), [sum]);
});

test("a process that leads again doesn't publish engines that departed meanwhile", async () => {
  const engines = [...ENGINES];
  const sessions = makeSessions(engines);
  await join(sessions, "g1");
  sessions.closeAll();
  engines.pop();
  const stream = await join(sessions, "g1");
  const list = stream.received.find(({ type }) => type === "engines");
  assert.ok(list?.type === "engines");
  assert.equal(list.engines.map(({ engineId }) => engineId), ["e0"]);
});

test("rate limits are sent with the welcome, before the engines", async () => {
  const limit = { engineId: "e0", limitPerS: 4, version: 1 };
  const limits = { take: () => {}, grant: () => [], list: () => [limit] };
  const sessions = makeSessions(ENGINES, { limits });
  const { received } = await join(sessions, "g1");
  assert.ok(received[0].type === "welcome");
  assert.equal(received[0].limits, [limit]);
});

test("only a leader with its lease grants sends; without it they are denied at once", async () => {
  const reported: unknown[] = [];
  const grants = [{ engineId: "e0", count: 1, retryAfterMs: 0 }];
  let hasLease = true;
  const sessions = makeSessions(ENGINES, {
    hasLease: () => hasLease,
    limits: {
      take: (report) => void reported.push(report),
      grant: () => grants,
      list: () => [],
    },
  });
  const stream = await join(sessions, "g1");
  const report = { engineId: "e0", limitPerS: 4 };
  stream.send({ ...BEAT, isReady: true, limits: [report] });
  assert.equal(reported, [report]);
  const request = { type: "grantRequest", counts: { e0: 1 }, askedMs: 5 };
  const requestGrants = () => {
    stream.send(request as GatewayMessage);
    return stream.received[stream.received.length - 1];
  };
  assert.equal(requestGrants(), { type: "grants", grants, askedMs: 5 });
  hasLease = false;
  const denied = requestGrants();
  assert.ok(denied.type === "grants");
  assert.is(denied.grants[0].count, 0);
  assert.ok(denied.grants[0].retryAfterMs > 0);
});

test("a configuration change is computed once for all gateways, not once for each", async () => {
  const metrics = createMetrics();
  const history = createConfigHistory({ decodeConfig });
  let accepted = makeAccepted(3, { routes: 245 });
  history.add(accepted);
  const sessions = makeSessions(ENGINES, {
    getAcceptedConfig: () => accepted,
    history,
    metrics,
  });
  const streams: FakeStream[] = [];
  for (let at = 0; at < 12; at++) {
    streams.push(await join(sessions, `g${at}`, accepted.version));
  }
  accepted = makeAccepted(5, { routes: 1_645 });
  history.add(accepted);
  sessions.publishConfig(accepted.version);
  await until(
    "all gateways have received version 5",
    () => streams.every(({ received }) => getReceivedVersion(received) === 5),
  );
  assert.is(metrics.getCounters()["config.changes_made"], 1);
});

/** Two gateways in each of two data centres; the engines are in data centre a. */
async function joinTwoPlaces() {
  const clock = { nowMs: 0 };
  const lines: unknown[] = [];
  const sessions = makeSessions(ENGINES, {
    now: () => clock.nowMs,
    log: (event, fields) => {
      if (event === "engineFoundLost") lines.push(fields);
    },
  });
  const streams = {
    a1: await join(sessions, "a1", -1, { place: "a" }),
    a2: await join(sessions, "a2", -1, { place: "a" }),
    b1: await join(sessions, "b1", -1, { place: "b" }),
    b2: await join(sessions, "b2", -1, { place: "b" }),
  };
  const report = (vm: keyof typeof streams, engineId = "e0") =>
    streams[vm].send({ ...BEAT, isReady: true, lost: [engineId] });
  const countTold = () =>
    Object.fromEntries(
      Object.entries(streams).map(([vm, { received }]) => [
        vm,
        received.filter(({ type }) => type === "lost").length,
      ]),
    );
  return { clock, lines, streams, report, countTold };
}

// Gateways elsewhere would otherwise wait for their own streams to fall silent, and
// then probe over the link between the data centres.
test("an engine found lost by two gateways of its own data centre is published to all once", async () => {
  const { clock, lines, streams, report, countTold } = await joinTwoPlaces();
  report("a1");
  report("a2");
  assert.equal(countTold(), { a1: 1, a2: 1, b1: 1, b2: 1 });
  const message = { type: "lost", engineIds: ["e0"] };
  assert.equal(streams.b1.received.at(-1), message);
  clock.nowMs = 1_900;
  report("a1");
  report("a2");
  assert.equal(countTold(), { a1: 1, a2: 1, b1: 1, b2: 1 });
  assert.equal(lines, [
    { engineIds: ["e0"], place: "a", toldPlaces: ["a", "b"], sessions: 4 },
  ]);
});

// In a partition between data centres, gateways of one report engines of the other,
// which all gateways there still reach.
test("an engine found lost by gateways of another data centre is published only there", async () => {
  const { lines, report, countTold } = await joinTwoPlaces();
  report("b1");
  report("b2");
  assert.equal(countTold(), { a1: 0, a2: 0, b1: 1, b2: 1 });
  assert.equal(lines, [
    { engineIds: ["e0"], place: "b", toldPlaces: ["b"], sessions: 2 },
  ]);
});

test("a lost engine that the leader doesn't know is published to its reporters' data centre", async () => {
  const { report, countTold } = await joinTwoPlaces();
  report("a1", "unknown");
  report("a2", "unknown");
  assert.equal(countTold(), { a1: 1, a2: 1, b1: 0, b2: 0 });
});

// A single gateway may itself be partitioned from the engine.
test("an engine that a single gateway found lost is not published", async () => {
  const { lines, report, countTold } = await joinTwoPlaces();
  report("a1");
  report("a1");
  report("b1");
  assert.equal(countTold(), { a1: 0, a2: 0, b1: 0, b2: 0 });
  assert.equal(lines, []);
});

/** Bytes that a 100 Mbit/s link carries in 200 ms. */
const LINK_BYTES = 2_500_000;

test("a new leader's first messages to 200 gateways don't delay its heartbeats", async () => {
  const engines = Array.from({ length: 221 }, (_, at) => ({
    ...ENGINES[0],
    engineId: `i-${(Math.imul(at + 1, 2_654_435_761) >>> 0).toString(16)}`,
    address: `10.128.${at % 7}.${at}:8080`,
    layers: { fromLayer: at % 40, toLayer: at % 40 + 9 },
    card: `card-${at % 4}`,
  }));
  const sessions = makeSessions(engines);
  const streams = [];
  for (let at = 0; at < 200; at++) {
    streams.push(await join(sessions, `front-place-${at % 5}-${at}`));
  }
  const joinBytes = streams.reduce((sum, one) => sum + one.receivedBytes, 0);
  assert.ok(joinBytes < LINK_BYTES, `${joinBytes} bytes to joining gateways`);
  sessions.publishAllEngines();
  sessions.tick();
  const allBytes = streams.reduce((sum, one) => sum + one.receivedBytes, 0);
  assert.ok(
    allBytes - joinBytes < LINK_BYTES,
    `${allBytes - joinBytes} bytes to all gateways`,
  );
});

test("a gateway whose record has another form is not welcomed, and the leader's timer goes on", async () => {
  const sessions = makeSessions();
  const sound = await join(sessions, "vm-1");
  sessions.tick();
  const stream = new FakeStream();
  sessions.handleSession(stream as unknown as SessionStream);
  const gateway = { ...makeGateway("vm-2"), cutOffServices: 7 };
  stream.send({
    type: "hello",
    gateway: gateway as unknown as GatewayRecord,
    version: -1,
    sentMs: 0,
  });
  await new Promise((resolve) => setImmediate(resolve));
  for (let at = 0; at < 3; at++) assert.not.throws(() => sessions.tick());
  assert.equal(stream.received, []);
  assert.ok(sound.received.length > 0);
});

test.run();
