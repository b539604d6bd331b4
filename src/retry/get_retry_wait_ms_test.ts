import { test } from "uvu";
import * as assert from "uvu/assert";
import { getRetryWaitMs } from "./get_retry_wait_ms.ts";

const BOUNDS = { baseMs: 100, maxMs: 1_000 };

test("the bound doubles with each failure, up to the maximum delay", () => {
  const waits = [1, 2, 3, 4, 5, 2_000].map((failures) =>
    getRetryWaitMs(failures, { ...BOUNDS, random: () => 1 })
  );
  assert.equal(waits, [100, 200, 400, 800, 1_000, 1_000]);
});

test("full jitter: the delay is random between 0 and the bound", () => {
  assert.is(getRetryWaitMs(3, { ...BOUNDS, random: () => 0 }), 0);
  assert.is(getRetryWaitMs(3, { ...BOUNDS, random: () => 0.5 }), 200);
});

test.run();
