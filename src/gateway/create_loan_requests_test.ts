import { test } from "uvu";
import * as assert from "uvu/assert";
import { createLoanRequests } from "./create_loan_requests.ts";

function makeRequests() {
  const clock = { ms: 0 };
  const requests = createLoanRequests({ now: () => clock.ms });
  const countIn = (spanMs: number) => {
    let count = 0;
    for (const endMs = clock.ms + spanMs; clock.ms < endMs; clock.ms += 10) {
      if (requests.noteMissing()) count += 1;
    }
    return count;
  };
  return { clock, requests, countIn };
}

test("the first missing retries are asked for at once, later ones ever less often", () => {
  const { requests, countIn } = makeRequests();
  assert.is(requests.noteMissing(), true);
  assert.ok(countIn(200) >= 1);
  const count = countIn(10_000);
  assert.ok(count <= 25, `${count} requests in 10 s`);
});

test("after a while without missing retries the shortest interval applies again", () => {
  const { clock, requests, countIn } = makeRequests();
  countIn(5_000);
  clock.ms += 1_000;
  assert.is(requests.noteMissing(), true);
  clock.ms += 60;
  assert.is(requests.noteMissing(), true);
});

test.run();
