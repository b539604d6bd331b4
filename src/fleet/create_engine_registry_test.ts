import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import { makeBeat } from "../../test/support/make_beat.ts";
import {
  createEngineRegistry,
  type EngineChange,
} from "./create_engine_registry.ts";

const BEAT = makeBeat();

function makeRegistry(
  getLeave = () => undefined,
  options: { readonly quietMs?: number } = {},
) {
  const clock = { nowMs: 0 };
  const published: EngineChange[] = [];
  const registry = createEngineRegistry({
    silenceMs: 3_000,
    now: () => clock.nowMs,
    getLeave,
    ...options,
    publish: (change) => void published.push(change),
    log: () => {},
  });
  return { registry, clock, published };
}

function getIds(registry: ReturnType<typeof makeRegistry>["registry"]) {
  return registry.getRecords().map(({ engineId }) => engineId);
}

test("recorded engines are there before their first beat, and not for ever", () => {
  const { registry, clock } = makeRegistry();
  const { sequence: _sequence, ...recorded } = BEAT;
  registry.addRecorded([recorded, { ...recorded, engineId: "e2" }]);
  assert.equal(getIds(registry), ["e1", "e2"]);
  clock.nowMs = 1_000;
  registry.take(BEAT);
  clock.nowMs = 3_500;
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
});

// All beats came over one connection that was late: all engines were dropped.
test("upstreams of which none is heard are kept for a while", () => {
  const { registry, clock } = makeRegistry(undefined, { quietMs: 1_800 });
  const { sequence: _sequence, ...recorded } = BEAT;
  registry.addRecorded([recorded, { ...recorded, engineId: "e2" }]);
  clock.nowMs = 8_000;
  registry.tick();
  assert.equal(getIds(registry), ["e1", "e2"]);
  registry.take(BEAT);
  clock.nowMs = 9_100;
  registry.tick();
  assert.equal(
    getIds(registry),
    ["e1", "e2"],
    "the other has just got its turn",
  );
  registry.take({ ...BEAT, sequence: BEAT.sequence + 1 });
  clock.nowMs = 9_300;
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
});

test("upstreams that are all gone are dropped in the end", () => {
  const { registry, clock } = makeRegistry(undefined, { quietMs: 1_800 });
  registry.take(BEAT);
  clock.nowMs = 11_900;
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
  clock.nowMs = 12_100;
  registry.tick();
  assert.equal(getIds(registry), []);
});

test("a record does not overwrite what was heard meanwhile", () => {
  const { registry } = makeRegistry();
  const { sequence: _sequence, ...recorded } = BEAT;
  registry.take({ ...BEAT, isLeaving: true });
  registry.addRecorded([recorded]);
  assert.ok(registry.getRecords()[0].isLeaving);
});

test("what two gateways suspect is dropped after a shorter silence", () => {
  const { registry, clock } = makeRegistry();
  registry.take(BEAT);
  clock.nowMs = 1_500;
  registry.takeSuspects("g1", ["e1"]);
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
  registry.takeSuspects("g2", ["e1"]);
  registry.tick();
  assert.equal(getIds(registry), []);
});

test("one that leaves still serves, unless it had drained before", async () => {
  const { registry, published } = makeRegistry();
  registry.take(BEAT);
  const address = "10.0.0.2:80";
  registry.take({ ...BEAT, engineId: "e2", address, isLeaving: true });
  registry.takeLeave("e1", "gone");
  registry.takeLeave("e2", "gone");
  await until("it is published", () => published.length > 0);
  const [{ gone, serving }] = published;
  assert.equal(gone, ["e1", "e2"]);
  assert.equal(serving, ["e1"]);
});

test("what beats is kept, whoever suspects it", () => {
  const { registry, clock } = makeRegistry();
  registry.take(BEAT);
  clock.nowMs = 1_000;
  registry.takeSuspects("g1", ["e1"]);
  registry.takeSuspects("g2", ["e1"]);
  registry.tick();
  assert.equal(getIds(registry), ["e1"]);
});

test.run();
