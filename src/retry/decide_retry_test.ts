import { test } from "uvu";
import * as assert from "uvu/assert";
import { classifyFailure, decideRetry, type RetryContext } from "./index.ts";
import {
  createRetryBudget,
  earnRetry,
  type RetryBudget,
  spendRetry,
} from "./retry_budget.ts";

const unknown = classifyFailure({ phase: "sent", fault: "timeout" });
const notRun = classifyFailure({ phase: "connecting", fault: "refused" });
const options = { nowMs: 0, random: 0.5 };

function makeContext(overrides: Partial<RetryContext> = {}): RetryContext {
  return {
    tries: 1,
    repeatable: true,
    answerBegun: false,
    deadlineMs: 1_000,
    ...overrides,
  };
}

test("a request that is not repeatable is not retried if it may have run", () => {
  const context = makeContext({ repeatable: false });
  assert.not(decideRetry(unknown, context, options).retry);
  assert.ok(decideRetry(notRun, context, options).retry);
});

test("no retry once the response has started or no attempt or time is left", () => {
  assert.not(
    decideRetry(unknown, makeContext({ answerBegun: true }), options).retry,
  );
  assert.not(decideRetry(unknown, makeContext({ tries: 3 }), options).retry);
  const late = makeContext({ deadlineMs: 0 });
  assert.not(decideRetry(unknown, late, options).retry);
});

test("the bound of the retry delay doubles with each attempt", () => {
  const decide = (tries: number) =>
    decideRetry(notRun, makeContext({ tries }), { nowMs: 0, random: 0.999 });
  const first = decide(1);
  const second = decide(2);
  assert.ok(first.retry && first.afterMs < 20);
  assert.ok(second.retry && second.afterMs > 20 && second.afterMs < 40);
});

test("the budget limits retries to a tenth of the load", () => {
  let budget = createRetryBudget({ maxTokens: 0 });
  let retries = 0;
  for (let count = 0; count < 1_000; count++) {
    budget = earnRetry(budget);
    const left = spendRetry(budget);
    if (!left) continue;
    budget = left;
    retries += 1;
  }
  assert.ok(retries >= 95 && retries <= 100);
});

test("an entry that restarts again and again does not get a full budget each time", () => {
  let retries = 0;
  for (let starts = 0; starts < 10; starts++) {
    let budget: RetryBudget | undefined = createRetryBudget();
    for (; budget; budget = spendRetry(budget)) retries += 1;
  }
  assert.ok(retries <= 60, `${retries} retries without a request`);
});

test.run();
