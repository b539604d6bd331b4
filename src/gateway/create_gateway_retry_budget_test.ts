import { test } from "uvu";
import * as assert from "uvu/assert";
import { RETRY_LIFETIME_MS } from "../retry/index.ts";
import { createGatewayRetryBudget } from "./create_gateway_retry_budget.ts";

const SERVICE = "model";

function makeBudget() {
  const clock = { ms: 0 };
  const timers: (() => void)[] = [];
  const questions = { count: 0 };
  const budget = createGatewayRetryBudget({
    windowMs: 10_000,
    onNeeded: () => void (questions.count += 1),
    now: () => clock.ms,
    setTimer: (run) => void timers.push(run),
  });
  budget.beginSession({ isNewLeader: true });
  const lend = (count: number) =>
    budget.addLoan({ counts: { [SERVICE]: count }, askedMs: clock.ms });
  const takeReport = () => budget.takeReports()[SERVICE] ?? {};
  return { clock, timers, questions, budget, lend, takeReport };
}

test("a process that has just started may send no retry that was not lent to it", () => {
  const { budget, lend } = makeBudget();
  for (let at = 0; at < 100; at++) budget.noteRequest(SERVICE);
  assert.is(budget.spend(SERVICE), undefined);
  lend(1);
  assert.is(budget.spend(SERVICE), "loan");
  assert.is(budget.spend(SERVICE), undefined);
});

test("a loan expires, also during a system suspend, and is given back", () => {
  const { clock, budget, lend, takeReport } = makeBudget();
  lend(2);
  assert.ok(budget.spend(SERVICE));
  clock.ms += RETRY_LIFETIME_MS;
  assert.not(budget.spend(SERVICE));
  const { sent, returned } = takeReport();
  assert.equal({ sent, returned }, { sent: 1, returned: 1 });
});

test("a gateway asks for what its calls need, and once for each of them", () => {
  const { budget, lend, takeReport } = makeBudget();
  for (let at = 0; at < 5; at++) budget.spend(SERVICE);
  assert.is(takeReport().needed, 5);
  lend(5);
  assert.is(takeReport().needed, undefined);
});

test("a gateway without requests asks for no spare retries", () => {
  const { clock, budget, takeReport } = makeBudget();
  assert.equal(budget.takeReports(), {});
  budget.noteRequest(SERVICE);
  assert.ok(takeReport().spare);
  clock.ms += 10_000;
  assert.equal(budget.takeReports(), {});
});

test("spare retries are replaced before they expire, and none are hoarded", () => {
  const { clock, budget, lend, takeReport } = makeBudget();
  budget.noteRequest(SERVICE);
  const { spare = 0 } = takeReport();
  lend(spare);
  assert.is(takeReport().spare, undefined);
  clock.ms += RETRY_LIFETIME_MS / 2;
  assert.is(takeReport().spare, spare);
  lend(spare);
  const { returned } = takeReport();
  assert.is(returned, spare);
  assert.is(budget.describe(SERVICE).lentLeft, spare);
});

test("calls that wait are woken by a loan in their order, the others denied", async () => {
  const { budget, lend } = makeBudget();
  const answers = [1, 2, 3].map(() => budget.waitForRetry(SERVICE));
  lend(2);
  assert.equal(await Promise.all(answers), [true, true, false]);
});

test("a call that began to wait after the question is not denied by its answer", async () => {
  const { clock, budget, timers } = makeBudget();
  const askedMs = clock.ms;
  clock.ms += 1;
  const answer = budget.waitForRetry(SERVICE);
  budget.addLoan({ counts: { [SERVICE]: 0 }, askedMs });
  assert.is(budget.describe(SERVICE).waiting, 1);
  timers.forEach((run) => run());
  assert.is(await answer, false);
});

test("a call that began to wait after the question is asked for when it is answered", async () => {
  const { clock, budget, questions, lend, takeReport } = makeBudget();
  budget.spend(SERVICE);
  const first = budget.waitForRetry(SERVICE);
  assert.is(takeReport().needed, 1);
  const askedMs = clock.ms;
  clock.ms += 5;
  budget.spend(SERVICE);
  const second = budget.waitForRetry(SERVICE);
  questions.count = 0;
  budget.addLoan({ counts: { [SERVICE]: 1 }, askedMs });
  assert.is(await first, true);
  assert.is(questions.count, 1);
  assert.is(takeReport().needed, 1);
  lend(2);
  assert.is(await second, true);
});

test("another leader is told of the whole window, and of what the one before has lent", () => {
  const { clock, budget, lend, takeReport } = makeBudget();
  budget.noteRequest(SERVICE);
  clock.ms += 750;
  budget.noteRequest(SERVICE);
  assert.equal(takeReport().requests, [1, 0, 0, 1]);
  lend(3);
  budget.spend(SERVICE);
  clock.ms += 250;
  budget.beginSession({ isNewLeader: true });
  const { requests, earlier, sent } = takeReport();
  assert.equal(requests, [0, 1, 0, 0, 1]);
  assert.equal(earlier, { sent: [0, 1], held: 2 });
  assert.is(sent, undefined);
  assert.ok(budget.spend(SERVICE));
  const next = takeReport();
  assert.equal([next.earlier, next.sent], [undefined, 1]);
});

test("the same leader is told of requests once, and of no loan of an earlier session", () => {
  const { clock, budget, lend, takeReport } = makeBudget();
  budget.noteRequest(SERVICE);
  takeReport();
  lend(2);
  clock.ms += 2_000;
  budget.noteRequest(SERVICE);
  budget.beginSession({ isNewLeader: false });
  budget.spend(SERVICE);
  const { requests, earlier, sent } = takeReport();
  assert.equal([requests, earlier, sent], [[1], undefined, undefined]);
});

test.run();
