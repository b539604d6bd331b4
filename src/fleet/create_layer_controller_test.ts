import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeLayeredModel } from "../../test/support/make_layered_model.ts";
import type { EngineRecord, LayerRange } from "../engines/index.ts";
import type { Service } from "../routes/index.ts";
import {
  createLayerController,
  type OrderAnswer,
} from "./create_layer_controller.ts";

const SERVICE: Service = {
  name: "model",
  maxConnections: 100,
  model: makeLayeredModel(),
};

function makeEngine(engineId: string, layers?: LayerRange): EngineRecord {
  return {
    engineId,
    service: "model",
    address: `${engineId}:1`,
    place: "a",
    slots: 8,
    isLeaving: false,
    card: "card",
    ...(layers ? { layers } : {}),
  };
}

function startController(
  answers: OrderAnswer[],
  engines: EngineRecord[] = [makeEngine("one")],
) {
  let nowMs = 0;
  const sent: string[] = [];
  const left = new Set<string>();
  const ended = new Set<string>();
  const controller = createLayerController({
    getServices: () => [SERVICE],
    getEngines: () => engines,
    sendOrder: ({ engineId }, { fromLayer, toLayer }) => {
      sent.push(`${engineId}:${fromLayer}-${toLayer}`);
      return Promise.resolve(answers.shift() ?? "begun");
    },
    hasLeft: (engineId) => left.has(engineId),
    hasEnded: (engineId) => ended.has(engineId),
    now: () => nowMs,
    log: () => {},
  });
  const runAfter = async (ms: number) => {
    nowMs += ms;
    await controller.run();
  };
  return { sent, engines, left, ended, runAfter };
}

test("an order without an answer is retried until there is one", async () => {
  const { sent, runAfter } = startController(["unknown", "unknown", "begun"]);
  await runAfter(0);
  await runAfter(1_000);
  assert.equal(sent, ["one:0-8"]);
  await runAfter(250);
  await runAfter(250);
  assert.equal(sent, ["one:0-8", "one:0-8", "one:0-8"]);
  await runAfter(250);
  assert.is(sent.length, 3);
});

test("a retry that conflicts with the order's own work isn't retried again", async () => {
  const { sent, engines, runAfter } = startController(["unknown", "conflict"]);
  await runAfter(0);
  await runAfter(1_000);
  await runAfter(250);
  await runAfter(600);
  assert.is(sent.length, 2);
  engines[0] = makeEngine("one", { fromLayer: 0, toLayer: 8 });
  await runAfter(250);
  assert.is(sent.length, 2);
});

/** Two engines that each hold half of the layers. */
function makeHalves(): EngineRecord[] {
  return [
    makeEngine("one", { fromLayer: 0, toLayer: 4 }),
    makeEngine("two", { fromLayer: 4, toLayer: 8 }),
  ];
}

// No other group holds all layers, so the gap waits only long enough to batch changes
// of engines that happen together.
test("the layers of a leaving engine are ordered elsewhere at once", async () => {
  const { sent, engines, left, runAfter } = startController([], makeHalves());
  await runAfter(0);
  engines[0] = { ...engines[0], isLeaving: true };
  left.add("one");
  await runAfter(100);
  await runAfter(600);
  assert.equal(sent, ["two:0-8"]);
});

/** The same two, and an engine in another data centre that holds all layers. */
function makeTwoPlaces(): EngineRecord[] {
  const whole = { ...makeEngine("whole", { fromLayer: 0, toLayer: 8 }) };
  return [...makeHalves(), { ...whole, place: "b" }];
}

test("a gap waits longer after an engine crashed under a request", async () => {
  const { sent, engines, ended, runAfter } = startController(
    [],
    makeTwoPlaces(),
  );
  await runAfter(0);
  engines.shift();
  await runAfter(100);
  // The report of the crash arrives after the departure.
  ended.add("one");
  await runAfter(2_500);
  await runAfter(1_500);
  assert.equal(sent, []);
  await runAfter(600);
  assert.is(sent.length, 1);
});

test("a failed engine has time to return before its layers are redistributed", async () => {
  const { sent, engines, runAfter } = startController([], makeTwoPlaces());
  await runAfter(0);
  engines.shift();
  await runAfter(100);
  await runAfter(1_500);
  assert.equal(sent, []);
  await runAfter(500);
  assert.equal(sent, ["two:0-8"]);
});

for (const stays of [true, false]) {
  const how = stays ? "is still listed" : "has departed";
  test(`a gap doesn't wait for an engine that leaves and ${how}`, async () => {
    const { sent, engines, left, runAfter } = startController(
      [],
      makeTwoPlaces(),
    );
    await runAfter(0);
    left.add("one");
    if (stays) engines[0] = { ...engines[0], isLeaving: true };
    else engines.shift();
    await runAfter(100);
    await runAfter(600);
    assert.equal(sent, ["two:0-8"]);
  });
}

test.run();
