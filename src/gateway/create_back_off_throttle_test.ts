import { test } from "uvu";
import * as assert from "uvu/assert";
import { createBackOffThrottle } from "./create_back_off_throttle.ts";

function makeThrottle() {
  const clock = { ms: 1_000 };
  const throttle = createBackOffThrottle({ now: () => clock.ms });
  /** Sends requests at an even rate, and serves the admitted ones. */
  const sendRequests = (askedPerS: number, spanMs: number) => {
    const gapMs = 1_000 / askedPerS;
    const result = { asked: 0, admitted: 0, waitsMs: [] as number[] };
    for (const endMs = clock.ms + spanMs; clock.ms < endMs; clock.ms += gapMs) {
      result.asked += 1;
      const waitMs = throttle.admit("s");
      if (waitMs !== undefined) result.waitsMs.push(waitMs);
      else {
        result.admitted += 1;
        throttle.noteServed("s");
      }
    }
    return result;
  };
  return { clock, throttle, sendRequests };
}

test("there is no limit while no upstream, or only a few, are backed off", () => {
  const { throttle, sendRequests } = makeThrottle();
  throttle.noteBackOff("s", { backedOffShare: 0.2 });
  const { asked, admitted } = sendRequests(100, 2_000);
  assert.is(admitted, asked);
});

test("when half of the upstreams are backed off, fewer requests are admitted than were served", () => {
  const { throttle, sendRequests } = makeThrottle();
  sendRequests(100, 2_000);
  throttle.noteBackOff("s", { backedOffShare: 0.5 });
  const { admitted, waitsMs } = sendRequests(200, 1_000);
  // 90 per second, growing by 10% within the second, and a burst.
  assert.ok(admitted > 85 && admitted < 105, String(admitted));
  assert.ok(waitsMs.every((waitMs) => waitMs > 0 && waitMs <= 1_000 / 90));
  assert.is(throttle.admit("another"), undefined);
});

test("repeated back-offs cut the limit to half of the served rate, not below", () => {
  const { clock, throttle, sendRequests } = makeThrottle();
  sendRequests(100, 2_000);
  for (let at = 0; at < 7; at++) {
    throttle.noteBackOff("s", { backedOffShare: 1 });
    clock.ms += 1_000;
  }
  const { admitted } = sendRequests(200, 1_000);
  assert.ok(admitted > 45 && admitted < 75, String(admitted));
});

test("simultaneous back-offs cut the limit once", () => {
  const { throttle, sendRequests } = makeThrottle();
  sendRequests(100, 2_000);
  for (let at = 0; at < 20; at++) {
    throttle.noteBackOff("s", { backedOffShare: 1 });
  }
  assert.ok(sendRequests(200, 1_000).admitted > 85);
});

test("the served rate is not underestimated right after the load began", () => {
  const { throttle, sendRequests } = makeThrottle();
  sendRequests(100, 400);
  throttle.noteBackOff("s", { backedOffShare: 1 });
  assert.ok(sendRequests(200, 1_000).admitted > 70);
});

test("the limit is removed ten seconds after the last back-off", () => {
  const { clock, throttle, sendRequests } = makeThrottle();
  sendRequests(10, 2_000);
  throttle.noteBackOff("s", { backedOffShare: 1 });
  clock.ms += 10_001;
  const { asked, admitted } = sendRequests(200, 500);
  assert.is(admitted, asked);
});

test("if nothing was served, a probing request is admitted now and then", () => {
  const { throttle, sendRequests } = makeThrottle();
  throttle.noteBackOff("s", { backedOffShare: 1 });
  const { admitted } = sendRequests(100, 5_000);
  assert.ok(admitted >= 1 && admitted < 10, String(admitted));
});

test.run();
