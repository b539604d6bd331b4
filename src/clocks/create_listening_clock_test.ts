import { test } from "uvu";
import * as assert from "uvu/assert";
import { createListeningClock } from "./create_listening_clock.ts";

const LOOK_INTERVAL_MS = 100;

function startClock() {
  let nowMs = 5_000;
  const clock = createListeningClock({
    now: () => nowMs,
    tickIntervalMs: LOOK_INTERVAL_MS,
  });
  return { clock, pass: (ms: number) => void (nowMs += ms) };
}

test("with regular looks it follows the steady clock", () => {
  const { clock, pass } = startClock();
  for (let at = 0; at < 50; at++) {
    pass(LOOK_INTERVAL_MS);
    clock.tick();
  }
  pass(40);
  assert.is(clock.now(), 5_040);
});

test("a blocked event loop counts as one late look", () => {
  const { clock, pass } = startClock();
  pass(4_000);
  assert.is(clock.now(), 150);
  clock.tick();
  pass(10);
  assert.is(clock.now(), 160);
});

test("it stops while messages are not processed", () => {
  const { clock, pass } = startClock();
  pass(100);
  clock.tick({ isListening: false });
  pass(3_000);
  clock.tick({ isListening: true });
  assert.is(clock.now(), 100);
  pass(60);
  assert.is(clock.now(), 160);
});

test.run();
