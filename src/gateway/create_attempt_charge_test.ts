import { test } from "uvu";
import * as assert from "uvu/assert";
import { createAttemptCharge } from "./create_attempt_charge.ts";

function startCharge(retries: number) {
  let left = retries;
  const charge = createAttemptCharge(() => {
    if (left === 0) return undefined;
    left -= 1;
    return "loan";
  });
  return { charge, getLeft: () => left };
}

test("the first attempt that is sent is free, each further one costs a retry", () => {
  const { charge, getLeft } = startCharge(1);
  assert.ok(charge.chargeNext());
  charge.noteEnd({ wasSent: true });
  assert.ok(charge.chargeNext());
  assert.is(getLeft(), 0);
  charge.noteEnd({ wasSent: true });
  assert.not(charge.chargeNext());
});

test("an attempt that is charged ahead is paid for once the one before it has ended", () => {
  const { charge, getLeft } = startCharge(1);
  assert.ok(charge.chargeNext());
  assert.ok(charge.chargeAhead());
  assert.ok(charge.chargeAhead());
  assert.is(getLeft(), 0);
  charge.noteEnd({ wasSent: true });
  assert.ok(charge.chargeNext());
  charge.noteEnd({ wasSent: true });
  assert.not(charge.chargeNext());
  assert.not(charge.chargeAhead());
});

test("attempts that reach no upstream are free, first or later", () => {
  const { charge, getLeft } = startCharge(1);
  for (let refused = 0; refused < 3; refused++) {
    assert.ok(charge.chargeNext());
    charge.noteEnd({ wasSent: false });
  }
  assert.is(getLeft(), 1);
  assert.ok(charge.chargeNext());
  charge.noteEnd({ wasSent: true });
  for (let refused = 0; refused < 3; refused++) {
    assert.ok(charge.chargeNext());
    charge.noteEnd({ wasSent: false });
  }
  assert.is(getLeft(), 0);
});

test("a call that waits for retries is charged once one is available", () => {
  let isAvailable = false;
  const charge = createAttemptCharge(() => isAvailable ? "loan" : undefined);
  charge.chargeNext();
  charge.noteEnd({ wasSent: true });
  assert.not(charge.chargeNext());
  isAvailable = true;
  assert.ok(charge.chargeNext());
});

test("what paid for an attempt is told", () => {
  const { charge } = startCharge(1);
  assert.ok(charge.chargeNext());
  assert.is(charge.getPayer(), "first");
  charge.noteEnd({ wasSent: true });
  assert.ok(charge.chargeNext());
  assert.is(charge.getPayer(), "loan");
  charge.noteEnd({ wasSent: false });
  assert.ok(charge.chargeNext());
  assert.is(charge.getPayer(), "kept");
});

test.run();
