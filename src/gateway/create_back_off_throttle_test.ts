import { test } from "uvu";
import * as assert from "uvu/assert";
import { createBackOffThrottle } from "./create_back_off_throttle.ts";

function makeThrottle() {
  const clock = { ms: 1_000 };
  const throttle = createBackOffThrottle({ now: () => clock.ms });
  /** Asks at an even rate; serves what is let in. */
  const play = (askedPerS: number, spanMs: number) => {
    const gapMs = 1_000 / askedPerS;
    const result = { asked: 0, letIn: 0, waitsMs: [] as number[] };
    for (const endMs = clock.ms + spanMs; clock.ms < endMs; clock.ms += gapMs) {
      result.asked += 1;
      const waitMs = throttle.admit("s");
      if (waitMs !== undefined) result.waitsMs.push(waitMs);
      else {
        result.letIn += 1;
        throttle.noteServed("s");
      }
    }
    return result;
  };
  return { clock, throttle, play };
}

test("nothing is limited while nobody rests, or few of many do", () => {
  const { throttle, play } = makeThrottle();
  throttle.noteBackOff("s", { backedOffShare: 0.2 });
  const { asked, letIn } = play(100, 2_000);
  assert.is(letIn, asked);
});

test("where half of a service rests less than what was served is let in", () => {
  const { throttle, play } = makeThrottle();
  play(100, 2_000);
  throttle.noteBackOff("s", { backedOffShare: 0.5 });
  const { letIn, waitsMs } = play(200, 1_000);
  // 90 a second, 10% more of it within the second, and a burst.
  assert.ok(letIn > 85 && letIn < 105, String(letIn));
  assert.ok(waitsMs.every((waitMs) => waitMs > 0 && waitMs <= 1_000 / 90));
  assert.is(throttle.admit("another"), undefined);
});

test("one rest after the other leads to half of what was served, not further", () => {
  const { clock, throttle, play } = makeThrottle();
  play(100, 2_000);
  for (let at = 0; at < 7; at++) {
    throttle.noteBackOff("s", { backedOffShare: 1 });
    clock.ms += 1_000;
  }
  const { letIn } = play(200, 1_000);
  assert.ok(letIn > 45 && letIn < 75, String(letIn));
});

test("rests of one moment cut once", () => {
  const { throttle, play } = makeThrottle();
  play(100, 2_000);
  for (let at = 0; at < 20; at++) {
    throttle.noteBackOff("s", { backedOffShare: 1 });
  }
  assert.ok(play(200, 1_000).letIn > 85);
});

test("a load that has just begun is not taken for a small one", () => {
  const { throttle, play } = makeThrottle();
  play(100, 400);
  throttle.noteBackOff("s", { backedOffShare: 1 });
  assert.ok(play(200, 1_000).letIn > 70);
});

test("ten seconds after the last rest everything is let in again", () => {
  const { clock, throttle, play } = makeThrottle();
  play(10, 2_000);
  throttle.noteBackOff("s", { backedOffShare: 1 });
  clock.ms += 10_001;
  const { asked, letIn } = play(200, 500);
  assert.is(letIn, asked);
});

test("where nothing was served one request in a while asks", () => {
  const { throttle, play } = makeThrottle();
  throttle.noteBackOff("s", { backedOffShare: 1 });
  const { letIn } = play(100, 5_000);
  assert.ok(letIn >= 1 && letIn < 10, String(letIn));
});

test.run();
