import { test } from "uvu";
import * as assert from "uvu/assert";
import { createLineBudget } from "./create_line_budget.ts";

test("lines over the rate limit are dropped and counted, except warnings", () => {
  let nowMs = 0;
  const budget = createLineBudget({ linesPerS: 10, now: () => nowMs });
  const taken = () =>
    Array.from({ length: 50 }, () => budget.take("info")).filter(Boolean)
      .length;
  assert.is(taken(), 20);
  assert.ok(budget.take("warn"));
  assert.is(budget.takeDropped(), 30);
  nowMs = 500;
  assert.is(taken(), 5);
  assert.is(budget.takeDropped(), 45);
  assert.is(budget.takeDropped(), 0);
});

test.run();
