import { test } from "uvu";
import * as assert from "uvu/assert";
import { createTryPayment } from "./create_try_payment.ts";

function startPayment(repeats: number) {
  let left = repeats;
  const payment = createTryPayment(() => {
    if (left === 0) return false;
    left -= 1;
    return true;
  });
  return { payment, getLeft: () => left };
}

test("the first try that is sent is free, each further one costs a repeat", () => {
  const { payment, getLeft } = startPayment(1);
  assert.ok(payment.payNext());
  payment.noteEnd({ wasSent: true });
  assert.ok(payment.payNext());
  assert.is(getLeft(), 0);
  payment.noteEnd({ wasSent: true });
  assert.not(payment.payNext());
});

test("tries that reach no upstream cost nothing, first or later ones", () => {
  const { payment, getLeft } = startPayment(1);
  for (let refused = 0; refused < 3; refused++) {
    assert.ok(payment.payNext());
    payment.noteEnd({ wasSent: false });
  }
  assert.is(getLeft(), 1);
  assert.ok(payment.payNext());
  payment.noteEnd({ wasSent: true });
  for (let refused = 0; refused < 3; refused++) {
    assert.ok(payment.payNext());
    payment.noteEnd({ wasSent: false });
  }
  assert.is(getLeft(), 0);
});

test("one that waits for repeats pays once there are some", () => {
  let isThere = false;
  const payment = createTryPayment(() => isThere);
  payment.payNext();
  payment.noteEnd({ wasSent: true });
  assert.not(payment.payNext());
  isThere = true;
  assert.ok(payment.payNext());
});

test.run();
