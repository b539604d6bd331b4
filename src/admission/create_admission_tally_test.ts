import { test } from "uvu";
import * as assert from "uvu/assert";
import { createAdmissionTally } from "./create_admission_tally.ts";

function startTally() {
  const clock = { ms: 1_000 };
  return { clock, tally: createAdmissionTally({ now: () => clock.ms }) };
}

test("an admission counts half after 5 s", () => {
  const { clock, tally } = startTally();
  assert.is(tally.get("a"), 0);
  tally.note("a");
  tally.note("a");
  assert.is(tally.get("a"), 2);
  clock.ms += 5_000;
  assert.is(tally.get("a"), 1);
  tally.note("a");
  clock.ms += 5_000;
  assert.is(tally.get("a"), 1);
  assert.is(tally.get("b"), 0);
});

test("the order of two accounts does not change while neither is admitted", () => {
  const { clock, tally } = startTally();
  tally.note("a");
  clock.ms += 400;
  tally.note("b");
  for (let waits = 0; waits < 100; waits += 1) {
    assert.ok(tally.get("a") < tally.get("b"));
    clock.ms += 300;
  }
});

test("1,000 accounts are kept: those that were admitted last", () => {
  const { tally } = startTally();
  for (let at = 0; at < 1_000; at += 1) tally.note(`account ${at}`);
  tally.note("account 0");
  tally.note("one more");
  assert.is(tally.get("account 0"), 2);
  assert.is(tally.get("account 1"), 0);
  assert.is(tally.get("account 2"), 1);
  assert.is(tally.get("one more"), 1);
});

test.run();
