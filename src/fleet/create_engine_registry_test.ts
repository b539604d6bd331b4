import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import type { LeaveKind } from "../engines/index.ts";
import { makeHeartbeat } from "../../test/support/make_beat.ts";
import {
  createEngineRegistry,
  type EngineChange,
} from "./create_engine_registry.ts";

const HEARTBEAT = makeHeartbeat();

function makeRegistry(
  getLeave: (engineId: string) => LeaveKind | undefined = () => undefined,
  options: { readonly quietMs?: number } = {},
) {
  const clock = { nowMs: 0 };
  const continued: string[] = [];
  const published: EngineChange[] = [];
  const registry = createEngineRegistry({
    silenceMs: 3_000,
    now: () => clock.nowMs,
    getLeave,
    ...options,
    publish: (change) => void published.push(change),
    onNextHeartbeat: (engineId) => void continued.push(engineId),
    log: () => {},
  });
  return { registry, clock, published, continued };
}

function getIds(registry: ReturnType<typeof makeRegistry>["registry"]) {
  return registry.getRecords().map(({ engineId }) => engineId);
}

test("recorded engines are registered before their first heartbeat, then time out", () => {
  const { registry, clock } = makeRegistry();
  const { sequence: _sequence, ...recorded } = HEARTBEAT;
  registry.addRecorded([recorded, { ...recorded, engineId: "e2" }]);
  assert.equal(getIds(registry), ["e1", "e2"]);
  clock.nowMs = 1_000;
  registry.handleHeartbeat(HEARTBEAT);
  clock.nowMs = 3_500;
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
});

// Guards against removing all engines when the one connection that carries their
// heartbeats is late.
test("upstreams are kept for a while when none of them sends heartbeats", () => {
  const { registry, clock } = makeRegistry(undefined, { quietMs: 1_800 });
  const { sequence: _sequence, ...recorded } = HEARTBEAT;
  registry.addRecorded([recorded, { ...recorded, engineId: "e2" }]);
  clock.nowMs = 8_000;
  registry.tick();
  assert.equal(getIds(registry), ["e1", "e2"]);
  registry.handleHeartbeat(HEARTBEAT);
  clock.nowMs = 9_100;
  registry.tick();
  assert.equal(
    getIds(registry),
    ["e1", "e2"],
    "the silent one has not timed out since heartbeats resumed",
  );
  registry.handleHeartbeat({ ...HEARTBEAT, sequence: HEARTBEAT.sequence + 1 });
  clock.nowMs = 9_300;
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
});

test("upstreams that all stay silent are removed in the end", () => {
  const { registry, clock } = makeRegistry(undefined, { quietMs: 1_800 });
  registry.handleHeartbeat(HEARTBEAT);
  clock.nowMs = 11_900;
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
  clock.nowMs = 12_100;
  registry.tick();
  assert.equal(getIds(registry), []);
});

// Guards against sending requests to an upstream whose leave the previous leader had
// acknowledged just before it failed, and had not added to its record yet.
test("a new leader lists a draining upstream as leaving, whatever its record tells", async () => {
  const { registry, published } = makeRegistry(() => "draining");
  const { sequence: _sequence, ...recorded } = HEARTBEAT;
  registry.addRecorded([recorded]);
  assert.equal(registry.getRecords().map((one) => one.isLeaving), [true]);
  await until("it is published", () => published.length > 0);
  assert.equal(published[0].engines.map((one) => one.isLeaving), [true]);
});

// Guards against gateways that go on sending requests to an upstream whose departure the
// previous leader had acknowledged just before it failed, and had not published yet.
test("a new leader names recorded upstreams that have left until it knows all", async () => {
  const { registry, clock, published } = makeRegistry((engineId) =>
    engineId === "e3" ? undefined : "gone"
  );
  const { sequence: _sequence, ...recorded } = HEARTBEAT;
  registry.addRecorded([
    recorded,
    { ...recorded, engineId: "e2", isLeaving: true },
    { ...recorded, engineId: "e3" },
  ]);
  const departures = { gone: ["e1", "e2"], serving: ["e1"] };
  assert.equal(getIds(registry), ["e3"]);
  assert.equal(registry.getDepartures(), departures);
  await until("they are published", () => published.length > 0);
  const { engines: _engines, ...rest } = published[0];
  assert.equal(rest, departures);
  registry.reset();
  assert.equal(registry.getDepartures(), { gone: [] });
  clock.nowMs = 4_000;
  registry.applyLeave("e3", "gone");
  assert.equal(registry.getDepartures(), { gone: [] }, "the list is whole");
});

test("a record doesn't overwrite a heartbeat that arrived before it", () => {
  const { registry } = makeRegistry();
  const { sequence: _sequence, ...recorded } = HEARTBEAT;
  registry.handleHeartbeat({ ...HEARTBEAT, isLeaving: true });
  registry.addRecorded([recorded]);
  assert.ok(registry.getRecords()[0].isLeaving);
});

test("an upstream that two gateways suspect times out sooner", () => {
  const { registry, clock } = makeRegistry();
  registry.handleHeartbeat(HEARTBEAT);
  clock.nowMs = 1_500;
  registry.addSuspicions("g1", ["e1"]);
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
  registry.addSuspicions("g2", ["e1"]);
  registry.tick();
  assert.equal(getIds(registry), []);
});

test("an upstream that leaves still serves, unless it had drained before", async () => {
  const { registry, published } = makeRegistry();
  registry.handleHeartbeat(HEARTBEAT);
  const address = "10.0.0.2:80";
  registry.handleHeartbeat({
    ...HEARTBEAT,
    engineId: "e2",
    address,
    isLeaving: true,
  });
  registry.applyLeave("e1", "gone");
  registry.applyLeave("e2", "gone");
  await until("the change is published", () => published.length > 0);
  const [{ gone, serving }] = published;
  assert.equal(gone, ["e1", "e2"]);
  assert.equal(serving, ["e1"]);
});

test("an upstream that sends heartbeats is kept although it is suspected", () => {
  const { registry, clock } = makeRegistry();
  registry.handleHeartbeat(HEARTBEAT);
  clock.nowMs = 1_000;
  registry.addSuspicions("g1", ["e1"]);
  registry.addSuspicions("g2", ["e1"]);
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
});

// They withdraw reports of a crash, so neither a repeated heartbeat nor one of an
// incarnation that can't be told apart may count.
test("only next heartbeats of one incarnation are announced", () => {
  const { registry, continued } = makeRegistry();
  const beat = { ...HEARTBEAT, startedMs: 100 };
  registry.handleHeartbeat({ ...beat, sequence: 1 });
  assert.equal(continued, []);
  registry.handleHeartbeat({ ...beat, sequence: 2 });
  registry.handleHeartbeat({ ...beat, sequence: 2 });
  registry.handleHeartbeat({ ...beat, sequence: 1 });
  assert.equal(continued, [beat.engineId]);
  const other = makeRegistry();
  other.registry.handleHeartbeat({ ...HEARTBEAT, sequence: 1 });
  other.registry.handleHeartbeat({ ...HEARTBEAT, sequence: 2 });
  assert.equal(other.continued, []);
});

test.run();
