import { test } from "uvu";
import * as assert from "uvu/assert";
import { createResponseTimes } from "./create_response_times.ts";

test("the mean time of a service follows its answers", () => {
  const times = createResponseTimes({ now: () => 0 });
  assert.is(times.getMeanMs("s"), undefined);
  times.noteAnswer("s", { tookMs: 100 });
  assert.is(times.getMeanMs("s"), 100);
  times.noteAnswer("s", { tookMs: 200 });
  assert.is(times.getMeanMs("s"), 110);
  assert.is(times.getMeanMs("t"), undefined);
});

test("the longest time of a service is that of its recent answers", () => {
  let nowMs = 0;
  const times = createResponseTimes({ now: () => nowMs });
  assert.is(times.getMaxMs("s"), 0);
  times.noteAnswer("s", { tookMs: 900 });
  times.noteAnswer("s", { tookMs: 100 });
  assert.is(times.getMaxMs("s"), 900);
  assert.is(times.getMaxMs("t"), 0);
  nowMs = 16_000;
  assert.is(times.getMaxMs("s"), 900);
  times.noteAnswer("s", { tookMs: 200 });
  assert.is(times.getMaxMs("s"), 900);
  nowMs = 32_000;
  assert.is(times.getMaxMs("s"), 200);
  nowMs = 90_000;
  assert.is(times.getMaxMs("s"), 0);
});

test.run();
