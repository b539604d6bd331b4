import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EventName } from "../logs/index.ts";
import { createEngineNotices } from "./create_engine_notices.ts";

function makeNotices({ random = 0 } = {}) {
  const clock = { ms: 1_000 };
  const logged: EventName[] = [];
  const notices = createEngineNotices({
    steadyNow: () => clock.ms,
    random: () => random,
    log: (name) => void logged.push(name),
    metrics: { count: () => {} },
  });
  const backOff = (engineId: string, backOffMs: number) =>
    notices.record(engineId, { backOffMs, isLeaving: false });
  return { clock, logged, notices, backOff };
}

test("a back-off lasts as long as requested", () => {
  const { clock, logged, notices, backOff } = makeNotices();
  backOff("a", 300);
  assert.equal(logged, ["engineAsksForBackOff"]);
  assert.is(notices.getBackOffLeftMs("a"), 300);
  assert.is(notices.getBackOffLeftMs("b"), 0);
  clock.ms += 299;
  assert.ok(notices.isBackedOff("a"));
  clock.ms += 1;
  assert.not.ok(notices.isBackedOff("a"));
});

test("a shorter back-off requested later does not end a longer one", () => {
  const { clock, notices, backOff } = makeNotices();
  backOff("a", 3_000);
  clock.ms += 100;
  backOff("a", 500);
  notices.record("a", { isLeaving: false });
  assert.is(notices.getBackOffLeftMs("a"), 2_900);
});

test("gateways return at different times, and never too soon", () => {
  for (const random of [0, 0.5, 0.99]) {
    const { notices, backOff } = makeNotices({ random });
    backOff("a", 1_000);
    const leftMs = notices.getBackOffLeftMs("a");
    assert.ok(leftMs >= 1_000 && leftMs <= 1_500, String(leftMs));
  }
});

test("after a back-off one request is sent first, and each one accepted allows more", () => {
  const { clock, notices, backOff } = makeNotices();
  backOff("a", 100);
  clock.ms += 100;
  const sendAll = () => {
    const ends = [];
    while (!notices.isBackedOff("a") && ends.length < 50) {
      ends.push(notices.beginSend("a"));
    }
    return ends;
  };
  const first = sendAll();
  assert.is(first.length, 1);
  first[0]({ isAccepted: true });
  assert.is(sendAll().length, 2);
});

test("an upstream that rejects the first request gets a single one again", () => {
  const { clock, notices, backOff } = makeNotices();
  backOff("a", 100);
  clock.ms += 100;
  const end = notices.beginSend("a");
  backOff("a", 100);
  end({ isAccepted: false });
  clock.ms += 100;
  assert.not.ok(notices.isBackedOff("a"));
  notices.beginSend("a");
  assert.ok(notices.isBackedOff("a"));
});

test("requests sent before a back-off and answered after it don't widen the window", () => {
  const { clock, notices, backOff } = makeNotices();
  const early = notices.beginSend("a");
  backOff("a", 100);
  clock.ms += 100;
  early({ isAccepted: true });
  notices.beginSend("a");
  assert.ok(notices.isBackedOff("a"));
});

test("answers to requests sent before a later back-off do not end it", () => {
  const { clock, notices, backOff } = makeNotices();
  backOff("a", 100);
  clock.ms += 100;
  // Requests are accepted one by one until the upstream is no longer limited.
  const ends = [];
  for (let at = 0; at < 40; at++) {
    const end = notices.beginSend("a");
    if (at % 2 === 0) end({ isAccepted: true });
    else ends.push(end);
  }
  backOff("a", 1_000);
  ends.forEach((end) => end({ isAccepted: true }));
  assert.is(notices.getBackOffLeftMs("a"), 1_000);
});

test("a single probe is allowed during a back-off", () => {
  const { clock, notices, backOff } = makeNotices();
  assert.ok(notices.acquireProbe("a"));
  backOff("a", 1_000);
  assert.ok(notices.acquireProbe("a"));
  backOff("a", 1_000);
  assert.not.ok(notices.acquireProbe("a"));
  clock.ms += 1_000;
  assert.ok(notices.acquireProbe("a"));
});

test("a leaving notice stays in force, whatever the incarnation reports later", () => {
  const { notices, logged } = makeNotices();
  notices.record("a@1", { isLeaving: true });
  notices.record("a@1", { isLeaving: false });
  assert.ok(notices.isLeaving("a@1"));
  assert.not.ok(notices.isLeaving("a@2"));
  assert.equal(notices.listLeaving(), ["a@1"]);
  assert.equal(logged, ["engineSaysLeaving"]);
});

test("upstreams are counted while they are backed off", () => {
  const { clock, notices, backOff } = makeNotices();
  for (let at = 0; at < 1_000; at++) backOff(`e${at}`, 100 + at);
  assert.is(notices.countBackedOff(), 1_000);
  clock.ms += 600;
  assert.is(notices.countBackedOff(), 499);
});

test.run();
