import { test } from "uvu";
import * as assert from "uvu/assert";
import { createTryPayment } from "./create_try_payment.ts";

function startCharge(retries: number) {
  let left = retries;
  const charge = createTryPayment(() => {
    if (left === 0) return false;
    left -= 1;
    return true;
  });
  return { charge, getLeft: () => left };
}

test("the first attempt that is sent is free, each further one costs a retry", () => {
  const { charge, getLeft } = startCharge(1);
  assert.ok(charge.payNext());
  charge.noteEnd({ wasSent: true });
  assert.ok(charge.payNext());
  assert.is(getLeft(), 0);
  charge.noteEnd({ wasSent: true });
  assert.not(charge.payNext());
});

test("attempts that reach no upstream are free, first or later", () => {
  const { charge, getLeft } = startCharge(1);
  for (let refused = 0; refused < 3; refused++) {
    assert.ok(charge.payNext());
    charge.noteEnd({ wasSent: false });
  }
  assert.is(getLeft(), 1);
  assert.ok(charge.payNext());
  charge.noteEnd({ wasSent: true });
  for (let refused = 0; refused < 3; refused++) {
    assert.ok(charge.payNext());
    charge.noteEnd({ wasSent: false });
  }
  assert.is(getLeft(), 0);
});

test("a call that waits for retries is charged once one is available", () => {
  let isAvailable = false;
  const charge = createTryPayment(() => isAvailable);
  charge.payNext();
  charge.noteEnd({ wasSent: true });
  assert.not(charge.payNext());
  isAvailable = true;
  assert.ok(charge.payNext());
});

test.run();
