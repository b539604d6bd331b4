import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LayeredModel } from "../routes/index.ts";
import { choosePath, type PathNeed } from "./choose_path.ts";
import { createStreamEndRate } from "./create_stream_end_rate.ts";
import { createEngineTable } from "./create_engine_table.ts";
import { getSlowness } from "./engine_view.ts";
import { createRetryAfterSchedule } from "./create_retry_after_schedule.ts";
import {
  createCapacityQueue,
  createCapacityQueues,
} from "./create_capacity_queue.ts";

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

/** A request of a service with one priority and no client accounts. */
const REQUEST = { rank: 0, isReturn: false, clientAccount: "" };

/** Tokens that fit into the memory of an engine with all layers. */
const CAPACITY_TOKENS = 1_000;

function startTable(ids: readonly string[], slots = 100) {
  let nowMs = 0;
  const table = createEngineTable({
    now: () => nowMs,
    log: () => {},
    onRemoved: () => {},
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
  table.applyUpdate({ type: "engines", isWhole: true, engines, gone: [] });
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

test("a new request goes where it fits, a resumed stream may use more memory", () => {
  const { table, choose } = startTable(["a", "b"]);
  const busy = { tokens: 900, requests: 9 };
  table.updateLoads({ a: busy });
  assert.is(choose({ tokens: 100, isNew: true }), "b");
  table.updateLoads({ a: busy, b: busy });
  assert.is(choose({ tokens: 100, isNew: true }), undefined);
  assert.ok(choose({ tokens: 100, isNew: false }));
  assert.is(choose({ tokens: CAPACITY_TOKENS, isNew: false }), undefined);
  assert.ok(choose());
});

test("a new request is admitted up to its own share of memory and slots, a resumed one isn't held to it", () => {
  const memory = startTable(["a"]);
  memory.table.updateLoads({ a: { tokens: 800, requests: 8 } });
  const need = { tokens: 100, isNew: true };
  assert.is(memory.choose({ ...need, maxShare: 0.85 }), undefined);
  assert.is(memory.choose({ ...need, maxShare: 0.9 }), "a");
  assert.is(memory.choose(need), "a");
  assert.is(memory.choose({ ...need, isNew: false, maxShare: 0.85 }), "a");
  const slots = startTable(["a"], 100);
  slots.table.updateLoads({ a: { tokens: 90, requests: 90 } });
  const small = { tokens: 1, isNew: true };
  assert.is(slots.choose({ ...small, maxShare: 0.9 }), undefined);
  assert.is(slots.choose({ ...small, maxShare: 0.95 }), "a");
});

test("less urgent requests leave the nearest copy for another before urgent ones do", () => {
  const { table, choose } = startTable(["a", "b"]);
  table.updateLoads({
    a: { tokens: 760, requests: 8 },
    b: { tokens: 740, requests: 8 },
  });
  const need = { tokens: 100, isNew: true };
  assert.is(choose({ ...need, maxShare: 0.95 }), "a");
  assert.is(choose({ ...need, maxShare: 0.85 }), "b");
});

test("a first engine whose slots are in use accepts resumed streams only", () => {
  const { table, choose } = startTable(["a"], 10);
  table.updateLoads({ a: { tokens: 90, requests: 10 } });
  assert.is(choose({ tokens: 1, isNew: true }), undefined);
  assert.is(choose({ tokens: 1, isNew: false }), "a");
});

test("own growth beyond random variation is assumed for all gateways, smaller growth isn't", () => {
  const { table, choose } = startTable(["a", "b"]);
  const path = [{ engineId: "a", ...WHOLE }];
  table.addWork(path, { tokens: 200 });
  assert.is(choose({ tokens: 100, isNew: true }), "a");
  table.addWork(path, { tokens: 250 });
  assert.is(choose({ tokens: 100, isNew: true }), "b");
});

test("the slowness that an engine reports itself counts at once, and for 2 s", () => {
  const { table, choose, wait } = startTable(["a", "b"]);
  assert.is(choose(), "a");
  table.noteSlowness("a", 6);
  assert.is(choose(), "b");
  const view = table.get("a");
  assert.is(view && getSlowness(view, 100), 6);
  wait(2_500);
  assert.is(choose(), "a");
});

test("streams that wait for capacity are admitted in order of arrival", () => {
  const queue = createCapacityQueue({
    getEndIntervalMs: () => 30,
    getOthersWaiting: () => 0,
    beginWait: () => () => {},
    now: () => 0,
  });
  assert.is(queue.estimateWaitMs(REQUEST), 30);
  const first = queue.join(REQUEST);
  const second = queue.join(REQUEST);
  assert.is(queue.estimateWaitMs(REQUEST), 90);
  assert.ok(first.isFirst());
  assert.not(second.isFirst());
  first.leave();
  assert.ok(second.isFirst());
  second.leave();
  assert.ok(queue.isEmpty());
});

test("streams that wait for one model don't delay those of another", () => {
  const getRoomQueue = createCapacityQueues({
    getEndIntervalMs: () => 30,
    getOthersWaiting: () => 0,
    beginWait: () => () => {},
  }, { now: () => 0 });
  getRoomQueue("one").join(REQUEST);
  assert.not(getRoomQueue("one").isEmpty());
  assert.ok(getRoomQueue("two").isEmpty());
});

test("the interval between stream ends follows those of the last seconds", () => {
  let nowMs = 0;
  const rate = createStreamEndRate({ now: () => nowMs });
  assert.is(rate.getIntervalMs(), 2_000);
  for (; nowMs < 4_000; nowMs += 100) rate.noteEnd({ tookMs: nowMs });
  assert.ok(Math.abs(rate.getIntervalMs() - 100) < 6);
  nowMs += 5_000;
  assert.is(rate.getIntervalMs(), 2_000);
});

test("the longest stream time is kept for a while", () => {
  let nowMs = 0;
  const rate = createStreamEndRate({ now: () => nowMs });
  assert.is(rate.getMaxDurationMs(), 0);
  rate.noteEnd({ tookMs: 7_000 });
  nowMs = 20_000;
  rate.noteEnd({ tookMs: 2_000 });
  assert.is(rate.getMaxDurationMs(), 7_000);
  nowMs = 40_000;
  assert.is(rate.getMaxDurationMs(), 2_000);
});

test("retries of callers are spaced no closer than capacity becomes free", () => {
  const schedule = createRetryAfterSchedule({
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

test("retry waits have jitter, so that gateways don't synchronise", () => {
  const draws = [0, 1];
  const schedule = createRetryAfterSchedule({
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
