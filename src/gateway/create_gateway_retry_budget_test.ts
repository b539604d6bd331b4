/**
 * Retries of 200 gateways: gateways whose streams ran on a failed engine borrow the
 * retries that the others don't need, and the fleet stays within its limit.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandomSource } from "../../proof/random_source.ts";
import { createRetryLender, LOAN_LIFETIME_MS } from "../fleet/index.ts";
import { createGatewayRetryBudget } from "./create_gateway_retry_budget.ts";

const GATEWAYS = 200;
const SERVICE = "model";
const RATIO = 0.2;
const EXTRA = 584;
const WINDOW_MS = 10_000;

/** Time, in ms, when the first window of each gateway is over. */
const SETTLED_MS = 25_000;

function createFleet() {
  const clock = { nowMs: 0 };
  const now = () => clock.nowMs;
  let leadsSinceMs = 0;
  const makeLender = () =>
    createRetryLender({
      extra: EXTRA,
      windowMs: WINDOW_MS,
      getLeadershipMs: () => now() - leadsSinceMs,
      now,
    });
  const fleet = { lender: makeLender() };
  const gateways = Array.from(
    { length: GATEWAYS },
    () =>
      createGatewayRetryBudget({
        ratio: RATIO,
        extra: EXTRA,
        windowMs: WINDOW_MS,
        getGatewayCount: () => GATEWAYS,
        now,
      }),
  );

  function changeLeader(): void {
    leadsSinceMs = now();
    fleet.lender = makeLender();
  }

  /** Lends a gateway what it wants; the returned function delivers the loan. */
  function lend(at: number): () => void {
    const wanted = gateways[at].getWantedLoans()[SERVICE] ?? 0;
    const askedMs = now();
    const count = fleet.lender.lend(SERVICE, wanted);
    return () => gateways[at].addLoan({ service: SERVICE, count, askedMs });
  }

  return { clock, gateways, changeLeader, lend };
}

test("a loan expires during a system suspend, while the window goes on", () => {
  const clock = { steadyMs: 0, suspendedMs: 0 };
  const budget = createGatewayRetryBudget({
    ratio: 0,
    extra: 0,
    windowMs: WINDOW_MS,
    getGatewayCount: () => 1,
    now: () => clock.steadyMs,
    elapsedNow: () => clock.steadyMs + clock.suspendedMs,
  });
  const lend = () =>
    budget.addLoan({
      service: SERVICE,
      count: 4,
      askedMs: clock.steadyMs + clock.suspendedMs,
    });
  lend();
  assert.ok(budget.spend(SERVICE));
  clock.suspendedMs = 6_000;
  assert.not.ok(budget.spend(SERVICE));
  lend();
  assert.ok(budget.spend(SERVICE));
});

test("all streams of a failed engine are retried, out of what other gateways don't use", () => {
  const { clock, gateways, lend } = createFleet();
  clock.nowMs = SETTLED_MS;
  gateways.forEach((one) => {
    for (let asked = 0; asked < 12; asked++) one.noteRequest(SERVICE);
  });
  const [budget] = gateways;
  const streams = 20;
  let sent = 0;
  for (let attempts = 0; attempts < 3 * streams && sent < streams; attempts++) {
    if (budget.spend(SERVICE)) sent += 1;
    else lend(0)();
  }
  // Its own share alone allows 3.
  assert.is(sent, streams);
});

test("a gateway without need for retries borrows none, nor twice for the same need", () => {
  const { clock, gateways } = createFleet();
  clock.nowMs = SETTLED_MS;
  const [budget] = gateways;
  budget.noteRequest(SERVICE);
  assert.equal(budget.getWantedLoans(), {});
  while (budget.spend(SERVICE));
  assert.ok(budget.getWantedLoans()[SERVICE] > 0);
  const loan = { service: SERVICE, count: 4, askedMs: clock.nowMs };
  budget.addLoan(loan);
  assert.equal(budget.getWantedLoans(), {});
  clock.nowMs += LOAN_LIFETIME_MS;
  assert.not(budget.spend(SERVICE));
});

test("a new leader lends nothing while earlier loans may still be used", () => {
  const { clock, gateways, changeLeader, lend } = createFleet();
  clock.nowMs = SETTLED_MS;
  changeLeader();
  while (gateways[0].spend(SERVICE));
  lend(0)();
  assert.not(gateways[0].spend(SERVICE));
  clock.nowMs += WINDOW_MS + LOAN_LIFETIME_MS;
  while (gateways[0].spend(SERVICE));
  lend(0)();
  assert.ok(gateways[0].spend(SERVICE));
});

/** Most retries spent beyond the ratio in any window. */
function findMaxExtra(
  spentMs: readonly number[],
  askedMs: readonly number[],
): number {
  const countSince = (times: readonly number[], endMs: number) =>
    times.filter((at) => at > endMs - WINDOW_MS && at <= endMs).length;
  return Math.max(
    0,
    ...spentMs.map((endMs) =>
      countSince(spentMs, endMs) - RATIO * countSince(askedMs, endMs)
    ),
  );
}

for (const seed of [1, 2, 3, 4]) {
  test(`the fleet stays within its limit across leader changes and late loans (seed ${seed})`, () => {
    const source = createRandomSource(seed);
    const draw = (below: number) => source.integer(0, below - 1);
    const { clock, gateways, changeLeader, lend } = createFleet();
    const spentMs: number[] = [];
    const askedMs: number[] = [];
    let delayed: { readonly dueMs: number; readonly arrive: () => void }[] = [];
    for (; clock.nowMs < 60_000; clock.nowMs += 50) {
      if (draw(400) === 0) changeLeader();
      delayed.filter(({ dueMs }) => dueMs <= clock.nowMs)
        .forEach(({ arrive }) => arrive());
      delayed = delayed.filter(({ dueMs }) => dueMs > clock.nowMs);
      for (let asked = 0; asked < 12; asked++) {
        gateways[draw(GATEWAYS)].noteRequest(SERVICE);
        askedMs.push(clock.nowMs);
      }
      for (let needed = 0; needed < 20; needed++) {
        const at = draw(20) === 0 ? draw(GATEWAYS) : draw(10);
        if (gateways[at].spend(SERVICE)) spentMs.push(clock.nowMs);
        else {
          const dueMs = clock.nowMs + draw(2_500);
          delayed.push({ dueMs, arrive: lend(at) });
        }
      }
    }
    const most = findMaxExtra(spentMs, askedMs);
    assert.ok(most <= EXTRA, `${most} of ${EXTRA}`);
    assert.ok(spentMs.length > 500);
  });
}

test.run();
