import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import { makeBeat } from "../../test/support/make_beat.ts";
import {
  createEngineRegistry,
  type EngineChange,
} from "./create_engine_registry.ts";

const BEAT = makeBeat();

function makeRegistry(getLeave = () => undefined) {
  const clock = { nowMs: 0 };
  const published: EngineChange[] = [];
  const registry = createEngineRegistry({
    silenceMs: 3_000,
    now: () => clock.nowMs,
    getLeave,
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
