import { test } from "uvu";
import * as assert from "uvu/assert";
import { classifyFailure, decideRetry, type RetryRequest } from "./index.ts";
import { createRetryBudget, earnRetry, spendRetry } from "./retry_budget.ts";

const unknown = classifyFailure({ phase: "sent", fault: "timeout" });
const notRun = classifyFailure({ phase: "connecting", fault: "refused" });
const options = { nowMs: 0, random: 0.5 };

function makeRequest(overrides: Partial<RetryRequest> = {}): RetryRequest {
  return {
    tries: 1,
    repeatable: true,
    answerBegun: false,
    deadlineMs: 1_000,
    ...overrides,
  };
}

test("what may have run and is not repeatable is never tried again", () => {
  const request = makeRequest({ repeatable: false });
  assert.not(decideRetry(unknown, request, options).retry);
  assert.ok(decideRetry(notRun, request, options).retry);
});

test("nothing is tried again once an answer has begun or time is over", () => {
  assert.not(
    decideRetry(unknown, makeRequest({ answerBegun: true }), options).retry,
  );
  assert.not(decideRetry(unknown, makeRequest({ tries: 3 }), options).retry);
  const late = makeRequest({ deadlineMs: 0 });
  assert.not(decideRetry(unknown, late, options).retry);
});

test("waits are drawn below a bound that doubles", () => {
  const decide = (tries: number) =>
    decideRetry(notRun, makeRequest({ tries }), { nowMs: 0, random: 0.999 });
  const first = decide(1);
  const second = decide(2);
  assert.ok(first.retry && first.afterMs < 20);
  assert.ok(second.retry && second.afterMs > 20 && second.afterMs < 40);
});

test("the budget lets retries be a tenth of the load and no more", () => {
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

test.run();
