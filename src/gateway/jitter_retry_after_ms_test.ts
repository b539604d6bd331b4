import { test } from "uvu";
import * as assert from "uvu/assert";
import { jitterRetryAfterMs } from "./jitter_retry_after_ms.ts";

test("callers retry at different times after the given wait, never before", () => {
  assert.is(jitterRetryAfterMs(3_000, 0), 3_000);
  assert.is(jitterRetryAfterMs(3_000, 0.5), 3_300);
  assert.is(jitterRetryAfterMs(0.2, 0), 1);
  assert.is(jitterRetryAfterMs(10, 0.5), 110);
});

test.run();
