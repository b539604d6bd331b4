/**
 * Repeats of 200 gateways: those whose streams hung on a lost engine borrow
 * what the others don't need, and all together keep to the bound.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandomSource } from "../../proof/random_source.ts";
import { createRepeatLender, LOAN_MS } from "../fleet/index.ts";
import { createRepeatBudget } from "./create_repeat_budget.ts";

const GATEWAYS = 200;
const SERVICE = "model";
const RATIO = 0.2;
const EXTRA = 584;
const WINDOW_MS = 10_000;

/** Ms after which a gateway has no first window any more. */
const SETTLED_MS = 25_000;

function startFleet() {
  const clock = { nowMs: 0 };
  const now = () => clock.nowMs;
  let leadsSinceMs = 0;
  const makeLender = () =>
    createRepeatLender({
      extra: EXTRA,
      windowMs: WINDOW_MS,
      getLeadsForMs: () => now() - leadsSinceMs,
      now,
    });
  const fleet = { lender: makeLender() };
  const gateways = Array.from({ length: GATEWAYS }, () =>
    createRepeatBudget({
      ratio: RATIO,
      extra: EXTRA,
      windowMs: WINDOW_MS,
      getGatewayCount: () => GATEWAYS,
      now,
    }));

  function changeLeader(): void {
    leadsSinceMs = now();
    fleet.lender = makeLender();
  }

  /** Lends a gateway what it wants; the answer comes after a while. */
  function lend(at: number): () => void {
    const wanted = gateways[at].getWanted()[SERVICE] ?? 0;
    const askedMs = now();
    const count = fleet.lender.lend(SERVICE, wanted);
    return () => gateways[at].takeLoan({ service: SERVICE, count, askedMs });
  }

  return { clock, gateways, changeLeader, lend };
}

test("a loan has run out at waking, and the window goes on", () => {
  const clock = { steadyMs: 0, missedMs: 0 };
  const budget = createRepeatBudget({
    ratio: 0,
    extra: 0,
    windowMs: WINDOW_MS,
    getGatewayCount: () => 1,
    now: () => clock.steadyMs,
    elapsedNow: () => clock.steadyMs + clock.missedMs,
  });
  const lend = () =>
    budget.takeLoan({
      service: SERVICE,
      count: 4,
      askedMs: clock.steadyMs + clock.missedMs,
    });
  lend();
  assert.ok(budget.spend(SERVICE));
  clock.missedMs = 6_000;
  assert.not.ok(budget.spend(SERVICE));
  lend();
  assert.ok(budget.spend(SERVICE));
});

test("one gateway's streams of a lost engine all go on, out of what others don't use", () => {
  const { clock, gateways, lend } = startFleet();
  clock.nowMs = SETTLED_MS;
  gateways.forEach((one) => {
    for (let asked = 0; asked < 12; asked++) one.noteRequest(SERVICE);
  });
  const [budget] = gateways;
  const streams = 20;
  let sent = 0;
  for (let tries = 0; tries < 3 * streams && sent < streams; tries++) {
    if (budget.spend(SERVICE)) sent += 1;
    else lend(0)();
  }
  // By its own share alone: 3.
  assert.is(sent, streams);
});

test("a gateway that needs no repeats borrows none, nor twice the same", () => {
  const { clock, gateways } = startFleet();
  clock.nowMs = SETTLED_MS;
  const [budget] = gateways;
  budget.noteRequest(SERVICE);
  assert.equal(budget.getWanted(), {});
  while (budget.spend(SERVICE));
  assert.ok(budget.getWanted()[SERVICE] > 0);
  const loan = { service: SERVICE, count: 4, askedMs: clock.nowMs };
  budget.takeLoan(loan);
  assert.equal(budget.getWanted(), {});
  clock.nowMs += LOAN_MS;
  assert.not(budget.spend(SERVICE));
});

test("a new leader lends nothing while earlier loans may be used", () => {
  const { clock, gateways, changeLeader, lend } = startFleet();
  clock.nowMs = SETTLED_MS;
  changeLeader();
  while (gateways[0].spend(SERVICE));
  lend(0)();
  assert.not(gateways[0].spend(SERVICE));
  clock.nowMs += WINDOW_MS + LOAN_MS;
  while (gateways[0].spend(SERVICE));
  lend(0)();
  assert.ok(gateways[0].spend(SERVICE));
});

/** The most that is spent beyond the ratio in any window. */
function findMostExtra(
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
  test(`all together keep to the bound, whoever leads and however late loans come (seed ${seed})`, () => {
    const source = createRandomSource(seed);
    const draw = (below: number) => source.integer(0, below - 1);
    const { clock, gateways, changeLeader, lend } = startFleet();
    const spentMs: number[] = [];
    const askedMs: number[] = [];
    let late: { readonly dueMs: number; readonly arrive: () => void }[] = [];
    for (; clock.nowMs < 60_000; clock.nowMs += 50) {
      if (draw(400) === 0) changeLeader();
      late.filter(({ dueMs }) => dueMs <= clock.nowMs)
        .forEach(({ arrive }) => arrive());
      late = late.filter(({ dueMs }) => dueMs > clock.nowMs);
      for (let asked = 0; asked < 12; asked++) {
        gateways[draw(GATEWAYS)].noteRequest(SERVICE);
        askedMs.push(clock.nowMs);
      }
      for (let needed = 0; needed < 20; needed++) {
        const at = draw(20) === 0 ? draw(GATEWAYS) : draw(10);
        if (gateways[at].spend(SERVICE)) spentMs.push(clock.nowMs);
        else {
          const dueMs = clock.nowMs + draw(2_500);
          late.push({ dueMs, arrive: lend(at) });
        }
      }
    }
    const most = findMostExtra(spentMs, askedMs);
    assert.ok(most <= EXTRA, `${most} of ${EXTRA}`);
    assert.ok(spentMs.length > 500);
  });
}

test.run();
