import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LayeredModel } from "../routes/index.ts";
import { choosePath, type PathNeed } from "./choose_path.ts";
import { createEndRate } from "./create_end_rate.ts";
import { createEngineTable } from "./create_engine_table.ts";
import { getSlowness } from "./engine_view.ts";
import { createReturnSchedule } from "./create_return_schedule.ts";
import { createRoomQueue, createRoomQueues } from "./create_room_queue.ts";

const MODEL: LayeredModel = {
  layers: 8,
  layerMb: 100,
  kvTokenBytes: 1_000_000,
  loadMs: 1_000,
  loadsAtOnce: 6,
  slots: 100,
  stepMs: 1,
  requestStepMs: 0.1,
  contextStepMs: 0,
  readTokensPerS: 1_000,
  usualPromptTokens: 80,
  usualAnswerTokens: 20,
  cards: [{ name: "card", memoryMb: 1_800, stepFactor: 1, readFactor: 1 }],
};

/** Tokens for which an engine with all layers has room. */
const ROOM_TOKENS = 1_000;

function startTable(ids: readonly string[], slots = 100) {
  let nowMs = 0;
  const table = createEngineTable({
    now: () => nowMs,
    log: () => {},
    onGone: () => {},
  });
  const engines = ids.map((engineId) => ({
    engineId,
    service: "model",
    address: `${engineId}:1`,
    place: engineId,
    slots,
    isLeaving: false,
    card: "card",
    layers: { fromLayer: 0, toLayer: 8 },
  }));
  table.take({ type: "engines", isWhole: true, engines, gone: [] });
  const choose = (need?: PathNeed) =>
    choosePath(table.listUsable("model"), {
      model: MODEL,
      place: ids[0],
      gatewayCount: 5,
      excluded: new Set(),
      nowMs,
      need,
    })?.[0].engineId;
  const wait = (ms: number) => {
    nowMs += ms;
  };
  return { table, choose, wait };
}

const WHOLE = { fromLayer: 0, toLayer: 8 };

test("a new request goes where it fits in, one that goes on may use more room", () => {
  const { table, choose } = startTable(["a", "b"]);
  const busy = { tokens: 900, requests: 9 };
  table.takeLoads({ a: busy });
  assert.is(choose({ tokens: 100, isNew: true }), "b");
  table.takeLoads({ a: busy, b: busy });
  assert.is(choose({ tokens: 100, isNew: true }), undefined);
  assert.ok(choose({ tokens: 100, isNew: false }));
  assert.is(choose({ tokens: ROOM_TOKENS, isNew: false }), undefined);
  assert.ok(choose());
});

test("a first engine whose slots are taken is for streams that go on", () => {
  const { table, choose } = startTable(["a"], 10);
  table.takeLoads({ a: { tokens: 90, requests: 10 } });
  assert.is(choose({ tokens: 1, isNew: true }), undefined);
  assert.is(choose({ tokens: 1, isNew: false }), "a");
});

test("own growth beyond chance counts for all gateways, growth by chance does not", () => {
  const { table, choose } = startTable(["a", "b"]);
  const path = [{ engineId: "a", ...WHOLE }];
  table.addWork(path, { tokens: 200 });
  assert.is(choose({ tokens: 100, isNew: true }), "a");
  table.addWork(path, { tokens: 250 });
  assert.is(choose({ tokens: 100, isNew: true }), "b");
});

test("an engine's own word on its pace counts at once, and for a while", () => {
  const { table, choose, wait } = startTable(["a", "b"]);
  assert.is(choose(), "a");
  table.notePace("a", 6);
  assert.is(choose(), "b");
  const view = table.get("a");
  assert.is(view && getSlowness(view, 100), 6);
  wait(2_500);
  assert.is(choose(), "a");
});

test("a stream that waits for room is let in in its order", () => {
  const queue = createRoomQueue({
    getEndIntervalMs: () => 30,
    getOthersWaiting: () => 0,
    beginWait: () => () => {},
  });
  assert.is(queue.estimateWaitMs(), 30);
  const first = queue.join();
  const second = queue.join();
  assert.is(queue.estimateWaitMs(), 90);
  assert.ok(first.isFirst());
  assert.not(second.isFirst());
  first.leave();
  assert.ok(second.isFirst());
  second.leave();
  assert.ok(queue.isEmpty());
});

test("who waits for one model holds up nobody who asks for another", () => {
  const getRoomQueue = createRoomQueues({
    getEndIntervalMs: () => 30,
    getOthersWaiting: () => 0,
    beginWait: () => () => {},
  });
  getRoomQueue("one").join();
  assert.not(getRoomQueue("one").isEmpty());
  assert.ok(getRoomQueue("two").isEmpty());
});

test("the interval between ends follows those of the last seconds", () => {
  let nowMs = 0;
  const rate = createEndRate({ now: () => nowMs });
  assert.is(rate.getIntervalMs(), 2_000);
  for (; nowMs < 4_000; nowMs += 100) rate.noteEnd({ tookMs: nowMs });
  assert.ok(Math.abs(rate.getIntervalMs() - 100) < 6);
  nowMs += 5_000;
  assert.is(rate.getIntervalMs(), 2_000);
});

test("the longest stream is remembered for a while", () => {
  let nowMs = 0;
  const rate = createEndRate({ now: () => nowMs });
  assert.is(rate.getLongestMs(), 0);
  rate.noteEnd({ tookMs: 7_000 });
  nowMs = 20_000;
  rate.noteEnd({ tookMs: 2_000 });
  assert.is(rate.getLongestMs(), 7_000);
  nowMs = 40_000;
  assert.is(rate.getLongestMs(), 2_000);
});

test("callers come back one after the other, no faster than room comes free", () => {
  const schedule = createReturnSchedule({
    getEndIntervalMs: () => 100,
    getGatewayCount: () => 1,
    now: () => 0,
    random: () => 0.5,
  });
  const waits = Array.from({ length: 10 }, () => schedule.getWaitMs("s"));
  assert.is(waits[0], 2_500);
  assert.equal(waits.slice(1, 4), [2_700, 2_900, 3_100]);
  const later = Array.from({ length: 30 }, () => schedule.getWaitMs("s"));
  assert.is(Math.max(...later), 6_000);
});

test("waits are spread at random, so that gateways don't agree by accident", () => {
  const draws = [0, 1];
  const schedule = createReturnSchedule({
    getEndIntervalMs: () => 0,
    getGatewayCount: () => 1,
    now: () => 0,
    random: () => draws.shift() ?? 0,
  });
  assert.equal([schedule.getWaitMs("s"), schedule.getWaitMs("s")], [
    2_000,
    3_000,
  ]);
});

test.run();
