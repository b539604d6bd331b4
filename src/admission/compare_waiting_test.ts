import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { compareWaiting, type WaitingRequest } from "./compare_waiting.ts";

const REQUEST: WaitingRequest = {
  rank: 1,
  isReturn: false,
  admittedCount: 5,
  arrival: 5,
};

const anyRequest = fc.record({
  rank: fc.nat(2),
  isReturn: fc.boolean(),
  admittedCount: fc.nat(2),
  arrival: fc.nat(5),
});

test("each criterion decides only where those before it are equal", () => {
  const better: readonly Partial<WaitingRequest>[] = [
    { rank: 0 },
    { isReturn: true },
    { admittedCount: 4 },
    { arrival: 4 },
  ];
  const worst = { isReturn: false, admittedCount: 9, arrival: 9 };
  better.forEach((fields, at) => {
    const later = Object.fromEntries(Object.entries(worst).slice(at));
    const first = { ...REQUEST, ...later, ...fields };
    assert.ok(compareWaiting(first, REQUEST) < 0, JSON.stringify(first));
    assert.ok(compareWaiting(REQUEST, first) > 0, JSON.stringify(first));
  });
});

test("requests of one rank and account are in the order of arrival", () => {
  const waiting = [3, 1, 2].map((arrival) => ({ ...REQUEST, arrival }));
  const arrivals = waiting.sort(compareWaiting).map(({ arrival }) => arrival);
  assert.equal(arrivals, [1, 2, 3]);
});

test("the order is the same whichever request is compared first, and has no cycles", () => {
  fc.assert(
    fc.property(anyRequest, anyRequest, anyRequest, (a, b, c) => {
      const isBefore = (x: WaitingRequest, y: WaitingRequest) =>
        compareWaiting(x, y) < 0;
      assert.is(
        Math.sign(compareWaiting(a, b)) + Math.sign(compareWaiting(b, a)),
        0,
      );
      if (isBefore(a, b) && isBefore(b, c)) assert.ok(isBefore(a, c));
    }),
    { seed: 1 },
  );
});

test.run();
