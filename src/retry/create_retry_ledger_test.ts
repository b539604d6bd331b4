import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRetryLedger, RETRY_LIFETIME_MS } from "./create_retry_ledger.ts";

const WINDOW_MS = 10_000;

function makeLedger() {
  const clock = { ms: 100_000 };
  const ledger = createRetryLedger({
    ratio: 0.2,
    extra: 100,
    windowMs: WINDOW_MS,
    now: () => clock.ms,
  });
  const amount = (count: number, holder = "vm-1/a") => ({
    service: "model",
    holder,
    count,
  });
  return { clock, ledger, amount, getUsed: () => ledger.getUsed("model") };
}

test("requests within the window raise what is allowed", () => {
  const { clock, ledger } = makeLedger();
  const without = ledger.getAllowed("model");
  ledger.noteRequests("model", 1_000);
  assert.ok(ledger.getAllowed("model") > without + 180);
  clock.ms += WINDOW_MS + 300;
  assert.is(ledger.getAllowed("model"), without);
});

test("retries lent and sent count until the window after they were sent is over", () => {
  const { clock, ledger, amount, getUsed } = makeLedger();
  ledger.noteLent(amount(5));
  assert.is(getUsed(), 5);
  clock.ms += 1_000;
  ledger.noteSent(amount(2));
  assert.is(getUsed(), 5);
  ledger.noteReturned(amount(3));
  assert.is(getUsed(), 2);
  clock.ms += WINDOW_MS;
  assert.is(getUsed(), 2);
  clock.ms += 300;
  assert.is(getUsed(), 0);
});

test("retries of a process that vanished count for as long as they may have been sent", () => {
  const { clock, ledger, amount, getUsed } = makeLedger();
  ledger.noteLent(amount(5));
  clock.ms += RETRY_LIFETIME_MS + WINDOW_MS - 1;
  ledger.tick();
  assert.is(getUsed(), 5);
  clock.ms += 1;
  ledger.tick();
  assert.is(getUsed(), 0);
});

test("the next process of a VM frees nothing of what the one before it was lent", () => {
  const { ledger, amount, getUsed } = makeLedger();
  ledger.noteLent(amount(5));
  ledger.noteLent(amount(3, "vm-1/b"));
  ledger.noteReturned(amount(3, "vm-1/b"));
  assert.is(getUsed(), 5);
});

test("retries that were sent without a known loan count, too", () => {
  const { ledger, amount, getUsed } = makeLedger();
  ledger.noteSent(amount(4));
  assert.is(getUsed(), 4);
});

test("what earlier leaders may have lent counts until all of it has expired", () => {
  const { clock, ledger, getUsed } = makeLedger();
  ledger.inherit("model", 40);
  clock.ms += RETRY_LIFETIME_MS + WINDOW_MS - 1;
  assert.is(getUsed(), 40);
  clock.ms += 1;
  assert.is(getUsed(), 0);
});

test("what processes tell of inherited retries counts from when they were sent", () => {
  const { clock, ledger, amount, getUsed } = makeLedger();
  ledger.inherit("model", 40);
  ledger.noteInheritedSent("model", 30, 6_000);
  ledger.noteInheritedHeld(amount(4));
  assert.is(getUsed(), 40);
  clock.ms += 4_300;
  assert.is(getUsed(), 10);
  ledger.noteReturned(amount(4));
  assert.is(getUsed(), 6);
});

test.run();
