import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import {
  addToFairQueue,
  type AdmissionInput,
  computeLeasedShares,
  createFairQueue,
  createTokenBucket,
  decideAdmission,
  findFairQueuePosition,
  takeFromFairQueue,
  takeToken,
} from "./index.ts";

function makeInput(overrides: Partial<AdmissionInput> = {}): AdmissionInput {
  return {
    inFlight: 0,
    maxInFlight: 10,
    queued: 0,
    maxQueued: 5,
    queuedAhead: 0,
    canDisplace: false,
    accountInFlight: 0,
    accountMaxInFlight: 100,
    endedPerS: 10,
    timeLeftMs: 10_000,
    typicalRunMs: 100,
    ...overrides,
  };
}

test("leased shares add up to the rate for any demand", () => {
  const demand = fc.float({ min: 0, max: 1_000, noNaN: true });
  fc.assert(
    fc.property(fc.array(demand, { minLength: 1, maxLength: 20 }), (perS) => {
      const demands = perS.map((demandPerS, at) => ({
        entry: `e${at}`,
        demandPerS,
      }));
      const shares = Object.values(computeLeasedShares(100, demands));
      const sum = shares.reduce((total, share) => total + share, 0);
      return Math.abs(sum - 100) < 1e-6 && shares.every((share) => share >= 0);
    }),
    { seed: 2 },
  );
});

test("capacity that an entry with low demand does not use goes to the others", () => {
  const shares = computeLeasedShares(100, [
    { entry: "a", demandPerS: 5 },
    { entry: "b", demandPerS: 500 },
  ]);
  assert.ok(shares.b > 80);
  assert.ok(shares.a >= 5);
});

test("an empty bucket returns the time until the next token", () => {
  const rate = { nowMs: 0, ratePerS: 2, burst: 1 };
  const first = takeToken(createTokenBucket(rate), rate);
  const second = takeToken(first.bucket, rate);
  assert.ok(first.admitted);
  assert.not(second.admitted);
  assert.is(second.retryAfterMs, 500);
  const later = { ...rate, nowMs: 500 };
  assert.ok(takeToken(second.bucket, later).admitted);
});

test("a request runs immediately while there is free capacity", () => {
  assert.is(decideAdmission(makeInput()).decision, "run");
});

test("a request that would miss its deadline is rejected with a retry-after time", () => {
  const decision = decideAdmission(
    makeInput({ inFlight: 10, queued: 4, queuedAhead: 4, timeLeftMs: 200 }),
  );
  assert.equal(decision, {
    decision: "refuse",
    reason: "deadline_too_near",
    retryAfterMs: 500,
  });
});

test("a full queue rejects a request unless it ranks before a queued one", () => {
  const full = makeInput({ inFlight: 10, queued: 5, queuedAhead: 5 });
  const refused = decideAdmission(full);
  assert.is(refused.decision === "refuse" && refused.reason, "queue_full");
  const taken = decideAdmission({ ...full, queuedAhead: 1, canDisplace: true });
  assert.ok(taken.decision === "queue" && taken.displace);
});

test("a client account cannot exceed its limit of requests in flight", () => {
  const decision = decideAdmission(makeInput({ accountInFlight: 100 }));
  assert.ok(
    decision.decision === "refuse" && decision.reason === "too_many_in_flight",
  );
});

function makeItem(id: number, clientAccount: string, priority = 5) {
  return { id, clientAccount, weight: 1, priority, deadlineMs: 1e9 };
}

test("an empty queue returns no request", () => {
  assert.is(takeFromFairQueue(createFairQueue(), 0).request, undefined);
});

test("a small client account is not stuck behind the backlog of a large one", () => {
  let queue = createFairQueue();
  for (let id = 1; id <= 10; id++) {
    queue = addToFairQueue(queue, makeItem(id, "large"));
  }
  const position = findFairQueuePosition(queue, makeItem(11, "small"));
  assert.ok(position.ahead <= 1);
  assert.is(position.last?.id, 10);
  queue = addToFairQueue(queue, makeItem(11, "small"));
  const first = takeFromFairQueue(queue, 0);
  const second = takeFromFairQueue(first.queue, 0);
  assert.ok([first.request?.id, second.request?.id].includes(11));
});

test("a higher priority is served first, and expired requests are dropped", () => {
  let queue = createFairQueue();
  queue = addToFairQueue(queue, makeItem(1, "a"));
  queue = addToFairQueue(queue, makeItem(2, "a", 9));
  queue = addToFairQueue(queue, { ...makeItem(3, "a", 9), deadlineMs: 5 });
  const taken = takeFromFairQueue(queue, 10);
  assert.is(taken.request?.id, 2);
  assert.equal(taken.expired.map((item) => item.id), [3]);
});

test.run();
