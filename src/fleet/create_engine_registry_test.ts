import { test } from "uvu";
import * as assert from "uvu/assert";
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
