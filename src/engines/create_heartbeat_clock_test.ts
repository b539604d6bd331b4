import { test } from "uvu";
import * as assert from "uvu/assert";
import { createHeartbeatClock } from "./create_heartbeat_clock.ts";

function startClock() {
  let nowMs = 0;
  const clock = createHeartbeatClock({
    now: () => nowMs,
    pauseAfterMs: 100,
    maxPauseMs: 1_000,
  });
  return { clock, advance: (ms: number) => void (nowMs += ms) };
}

test("the clock runs while heartbeats arrive", () => {
  const { clock, advance } = startClock();
  for (let count = 0; count < 10; count++) {
    advance(90);
    clock.recordHeartbeat();
  }
  assert.is(clock.now(), 900);
});

test("the clock pauses while no heartbeat arrives, and resumes from there", () => {
  const { clock, advance } = startClock();
  advance(600);
  assert.is(clock.now(), 100);
  clock.recordHeartbeat();
  assert.is(clock.now(), 100);
  advance(50);
  assert.is(clock.now(), 150);
});

test("the clock goes on after the longest pause, as all upstreams may have failed", () => {
  const { clock, advance } = startClock();
  advance(1_100);
  assert.is(clock.now(), 100);
  advance(300);
  assert.is(clock.now(), 400);
});

test.run();
