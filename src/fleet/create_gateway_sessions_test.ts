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
  readonly taken: LeaderMessage[] = [];
  readonly numbers = createEngineNumbers();
  takenBytes = 0;
  readonly writableLength = 0;

  write(message: wire.FleetMessage): void {
    this.takenBytes += wire.FleetMessage.encode(message).finish().length;
    this.taken.push(parseLeaderMessage(message, this.numbers));
  }

  sendMetadata(): void {}

  end(): void {
    this.emit("close");
  }

  say(message: GatewayMessage): void {
    this.emit("data", formatGatewayMessage(message, this.numbers));
  }

  takeNews(): LeaderMessage[] {
    return this.taken.splice(0)
      .filter(({ type }) => type === "gateways" || type === "loads");
  }
}

function makeSessions(
  engines = ENGINES,
  given: Partial<Parameters<typeof createGatewaySessions>[0]> = {},
) {
  const history = createConfigHistory({ decodeConfig });
  return createGatewaySessions({
    isLeader: () => true,
    hasLease: () => true,
    confirmRead: () => Promise.resolve(),
    getLeaderAddress: () => "",
    getControlAddresses: () => [],
    getAccepted: () => undefined,
    history,
    getEngines: () => engines,
    knowsAllEngines: () => true,
    knowsAllGateways: () => true,
    lendRepeats: () => 0,
    quarantine: {
      take: () => {},
      grantTrial: () => undefined,
      list: () => [],
    },
    limits: { take: () => {}, grant: () => [], list: () => [] },
    onSuspects: () => {},
    onSlow: () => {},
    onLeaving: () => {},
    now: () => 0,
    log: () => {},
    metrics: createMetrics(),
    ...given,
  });
}

function makeGateway(vm: string): GatewayRecord {
  return { vm, place: "a", address: `${vm}:1`, isReady: true };
}

async function join(
  sessions: ReturnType<typeof makeSessions>,
  vm: string,
  version = -1,
  known: { readonly knowsGateways?: boolean } = {},
): Promise<FakeStream> {
  const stream = new FakeStream();
  sessions.handleSession(stream as unknown as SessionStream);
  const gateway = makeGateway(vm);
  stream.say({ type: "hello", gateway, version, sentMs: 0, ...known });
  await new Promise((resolve) => setImmediate(resolve));
  return stream;
}

function makeAccepted(version: number, options: { routes: number }) {
  const document = JSON.stringify(makeLargeWireConfig(version, options));
  return { version, packed: packDocument(document) };
}

/** Version of the configuration that a gateway was told last. */
function toldVersion(taken: readonly LeaderMessage[]): number | undefined {
  const told = taken.findLast(({ type }) =>
    type === "config" || type === "configChange"
  );
  return told && "version" in told ? told.version : undefined;
}

const BEAT = { type: "beat", sentMs: 0, suspects: [] } as const;

test("gateways that change together are one piece of news to each", async () => {
  const sessions = makeSessions();
  const streams = [];
  for (const vm of ["g1", "g2", "g3"]) streams.push(await join(sessions, vm));
  sessions.tick();
  for (const stream of streams) stream.takeNews();
  streams[0].say({ ...BEAT, isReady: false });
  streams[1].say({ ...BEAT, isReady: false });
  sessions.tick();
  sessions.tick();
  const [news, ...rest] = streams[2].takeNews();
  assert.equal(rest, []);
  assert.ok(news.type === "gateways" && !news.isWhole);
  assert.equal(news.gateways.map(({ vm }) => vm), ["g1", "g2"]);
  streams[0].end();
  sessions.tick();
  const [left] = streams[2].takeNews();
  assert.ok(left.type === "gateways");
  assert.equal(left.gone, ["g1"]);
  assert.equal(left.gateways, []);
});

test("a gateway that left before it was welcomed doesn't end its newer session", async () => {
  const lost: unknown[] = [];
  const confirmed: (() => void)[] = [];
  const sessions = makeSessions(ENGINES, {
    confirmRead: () => new Promise((resolve) => confirmed.push(resolve)),
    log: (event) => void lost.push(event),
  });
  const left = await join(sessions, "g1");
  const newer = await join(sessions, "g1");
  left.end();
  confirmed.reverse().forEach((confirm) => confirm());
  await until("it is welcomed", () => newer.taken.length > 0);
  newer.say({ ...BEAT, isReady: true });
  assert.is(newer.taken.at(-1)?.type, "beatAck");
  assert.equal(lost, ["gatewayJoined"]);
});

test("who joins is told all gateways, the others who joined", async () => {
  const sessions = makeSessions();
  const first = await join(sessions, "g1");
  sessions.tick();
  first.takeNews();
  const second = await join(sessions, "g2");
  const [whole] = second.takeNews();
  assert.ok(whole.type === "gateways" && whole.isWhole);
  assert.equal(whole.gateways.map(({ vm }) => vm), ["g1", "g2"]);
  assert.equal(first.takeNews(), []);
  sessions.tick();
  const [joined] = first.takeNews();
  assert.ok(joined.type === "gateways" && !joined.isWhole);
  assert.equal(joined.gateways.map(({ vm }) => vm), ["g2"]);
});

// Gateways divide bounds among as many as they are told.
test("a gateway that starts with the fleet is told no part of the gateways", async () => {
  const sessions = makeSessions(ENGINES, { knowsAllGateways: () => false });
  const first = await join(sessions, "g1", -1, { knowsGateways: false });
  sessions.tick();
  assert.equal(first.takeNews(), []);
  assert.is(sessions.getToldGateways(), undefined);
});

test("a gateway that starts under a new leader is told those that are recorded", async () => {
  const sessions = makeSessions(ENGINES, { knowsAllGateways: () => false });
  const recorded = ["g1", "g2"].map((vm) => makeGateway(vm));
  sessions.expectGateways(recorded);
  const back = await join(sessions, "g1", -1, { knowsGateways: true });
  const started = await join(sessions, "g3", -1, { knowsGateways: false });
  assert.equal(back.takeNews(), []);
  const [whole] = started.takeNews();
  assert.ok(whole.type === "gateways" && whole.isWhole);
  assert.equal(whole.gateways.map(({ vm }) => vm), ["g1", "g2", "g3"]);
});

test("all gateways are told one sum of their work, when it has changed", async () => {
  const sessions = makeSessions();
  const streams = [await join(sessions, "g1"), await join(sessions, "g2")];
  sessions.tick();
  for (const stream of streams) stream.takeNews();
  const loads = { e1: { tokens: 5, requests: 1 } };
  for (const stream of streams) stream.say({ ...BEAT, isReady: true, loads });
  sessions.publishLoads();
  sessions.publishLoads();
  const sum = {
    type: "loads",
    loads: { e1: { tokens: 10, requests: 2 } },
    activity: {},
  };
  assert.equal(streams[0].takeNews(), [sum]);
  assert.equal(streams[1].takeNews(), [sum]);
});

test("one that leads again tells no engines that went meanwhile", async () => {
  const engines = [...ENGINES];
  const sessions = makeSessions(engines);
  await join(sessions, "g1");
  sessions.closeAll();
  engines.pop();
  const stream = await join(sessions, "g1");
  const list = stream.taken.find(({ type }) => type === "engines");
  assert.ok(list?.type === "engines");
  assert.equal(list.engines.map(({ engineId }) => engineId), ["e0"]);
});

test("limits are told with the welcome, before the engines", async () => {
  const told = { engineId: "e0", limitPerS: 4, version: 1 };
  const limits = { take: () => {}, grant: () => [], list: () => [told] };
  const sessions = makeSessions(ENGINES, { limits });
  const { taken } = await join(sessions, "g1");
  assert.ok(taken[0].type === "welcome");
  assert.equal(taken[0].limits, [told]);
});

test("only a leader with its lease grants sends, and others say so at once", async () => {
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
  stream.say({ ...BEAT, isReady: true, limits: [report] });
  assert.equal(reported, [report]);
  const request = { type: "grantRequest", counts: { e0: 1 }, askedMs: 5 };
  const ask = () => {
    stream.say(request as GatewayMessage);
    return stream.taken[stream.taken.length - 1];
  };
  assert.equal(ask(), { type: "grants", grants, askedMs: 5 });
  hasLease = false;
  const denied = ask();
  assert.ok(denied.type === "grants");
  assert.is(denied.grants[0].count, 0);
  assert.ok(denied.grants[0].retryAfterMs > 0);
});

test("a grown configuration is compared once for all gateways, not once for each", async () => {
  const metrics = createMetrics();
  const history = createConfigHistory({ decodeConfig });
  let accepted = makeAccepted(3, { routes: 245 });
  history.note(accepted);
  const sessions = makeSessions(ENGINES, {
    getAccepted: () => accepted,
    history,
    metrics,
  });
  const streams: FakeStream[] = [];
  for (let at = 0; at < 12; at++) {
    streams.push(await join(sessions, `g${at}`, accepted.version));
  }
  accepted = makeAccepted(5, { routes: 1_645 });
  history.note(accepted);
  sessions.publishConfig(accepted.version);
  await until(
    "all are told",
    () => streams.every(({ taken }) => toldVersion(taken) === 5),
  );
  assert.is(metrics.getCounters()["config.changes_made"], 1);
});

/** Bytes that a link of 100 Mbit/s carries in a fifth of a second. */
const LINK_BYTES = 2_500_000;

test("a new leader's first words to 200 gateways don't hold up its heartbeats", async () => {
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
  const joinBytes = streams.reduce((sum, one) => sum + one.takenBytes, 0);
  assert.ok(joinBytes < LINK_BYTES, `${joinBytes} to who joins`);
  sessions.publishAllEngines();
  sessions.tick();
  const allBytes = streams.reduce((sum, one) => sum + one.takenBytes, 0);
  assert.ok(
    allBytes - joinBytes < LINK_BYTES,
    `${allBytes - joinBytes} to all`,
  );
});

test.run();
