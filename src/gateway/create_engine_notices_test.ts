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
  const rest = (engineId: string, backOffMs: number) =>
    notices.take(engineId, { backOffMs, isLeaving: false });
  return { clock, logged, notices, rest };
}

test("a rest lasts for as long as it was asked for", () => {
  const { clock, logged, notices, rest } = makeNotices();
  rest("a", 300);
  assert.equal(logged, ["engineAsksForBackOff"]);
  assert.is(notices.getBackOffLeftMs("a"), 300);
  assert.is(notices.getBackOffLeftMs("b"), 0);
  clock.ms += 299;
  assert.ok(notices.isBackedOff("a"));
  clock.ms += 1;
  assert.not.ok(notices.isBackedOff("a"));
});

test("a shorter rest that is asked for later does not end a longer one", () => {
  const { clock, notices, rest } = makeNotices();
  rest("a", 3_000);
  clock.ms += 100;
  rest("a", 500);
  notices.take("a", { isLeaving: false });
  assert.is(notices.getBackOffLeftMs("a"), 2_900);
});

test("gateways come back at different times, and never too soon", () => {
  for (const random of [0, 0.5, 0.99]) {
    const { notices, rest } = makeNotices({ random });
    rest("a", 1_000);
    const leftMs = notices.getBackOffLeftMs("a");
    assert.ok(leftMs >= 1_000 && leftMs <= 1_500, String(leftMs));
  }
});

test("after a rest one request goes first, and each that is taken lets in more", () => {
  const { clock, notices, rest } = makeNotices();
  rest("a", 100);
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
  first[0]({ isTaken: true });
  assert.is(sendAll().length, 2);
});

test("one that turns the first request away is asked by one again", () => {
  const { clock, notices, rest } = makeNotices();
  rest("a", 100);
  clock.ms += 100;
  const end = notices.beginSend("a");
  rest("a", 100);
  end({ isTaken: false });
  clock.ms += 100;
  assert.not.ok(notices.isBackedOff("a"));
  notices.beginSend("a");
  assert.ok(notices.isBackedOff("a"));
});

test("what was sent before a rest and ends after it counts for nothing", () => {
  const { clock, notices, rest } = makeNotices();
  const early = notices.beginSend("a");
  rest("a", 100);
  clock.ms += 100;
  early({ isTaken: true });
  notices.beginSend("a");
  assert.ok(notices.isBackedOff("a"));
});

test("answers to what went before a later rest do not end it", () => {
  const { clock, notices, rest } = makeNotices();
  rest("a", 100);
  clock.ms += 100;
  // One after the other is taken until it is used as any other again.
  const ends = [];
  for (let at = 0; at < 40; at++) {
    const end = notices.beginSend("a");
    if (at % 2 === 0) end({ isTaken: true });
    else ends.push(end);
  }
  rest("a", 1_000);
  ends.forEach((end) => end({ isTaken: true }));
  assert.is(notices.getBackOffLeftMs("a"), 1_000);
});

test("while one rests a single question tells whether it is there", () => {
  const { clock, notices, rest } = makeNotices();
  assert.ok(notices.takeQuestion("a"));
  rest("a", 1_000);
  assert.ok(notices.takeQuestion("a"));
  rest("a", 1_000);
  assert.not.ok(notices.takeQuestion("a"));
  clock.ms += 1_000;
  assert.ok(notices.takeQuestion("a"));
});

test("a leave is never unlearnt, whatever its run says later", () => {
  const { notices, logged } = makeNotices();
  notices.take("a@1", { isLeaving: true });
  notices.take("a@1", { isLeaving: false });
  assert.ok(notices.isLeaving("a@1"));
  assert.not.ok(notices.isLeaving("a@2"));
  assert.equal(notices.listLeaving(), ["a@1"]);
  assert.equal(logged, ["engineSaysLeaving"]);
});

test("many that rest are counted while they do", () => {
  const { clock, notices, rest } = makeNotices();
  for (let at = 0; at < 1_000; at++) rest(`e${at}`, 100 + at);
  assert.is(notices.countBackedOff(), 1_000);
  clock.ms += 600;
  assert.is(notices.countBackedOff(), 499);
});

test.run();
