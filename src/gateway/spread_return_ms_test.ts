import { test } from "uvu";
import * as assert from "uvu/assert";
import { spreadReturnMs } from "./spread_return_ms.ts";

test("callers retry at different times after the given wait, never before", () => {
  assert.is(spreadReturnMs(3_000, 0), 3_000);
  assert.is(spreadReturnMs(3_000, 0.5), 3_300);
  assert.is(spreadReturnMs(0.2, 0), 1);
  assert.is(spreadReturnMs(10, 0.5), 110);
});

test.run();
