import { test } from "uvu";
import * as assert from "uvu/assert";
import { createSlidingCount } from "./create_sliding_count.ts";

const WINDOW_MS = 10_000;
const BUCKET_MS = 200;

test("what was added counts for the whole window and at most one bucket more", () => {
  for (let startMs = 0; startMs < 1_000; startMs += 37) {
    let nowMs = startMs;
    const count = createSlidingCount({
      windowMs: WINDOW_MS,
      now: () => nowMs,
    });
    count.add(3);
    nowMs += WINDOW_MS;
    assert.is(count.get(), 3);
    nowMs += BUCKET_MS;
    assert.is(count.get(), 0);
  }
});

test("what happened earlier expires earlier, in whatever order it is added", () => {
  let nowMs = 50_000;
  const count = createSlidingCount({ windowMs: WINDOW_MS, now: () => nowMs });
  count.add(1);
  count.add(2, nowMs - 6_000);
  count.add(4, nowMs - 2_000);
  assert.is(count.get(), 7);
  nowMs += 4_000 + BUCKET_MS;
  assert.is(count.get(), 5);
  nowMs += 4_000;
  assert.is(count.get(), 1);
});

test.run();
