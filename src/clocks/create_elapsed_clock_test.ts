/**
 * Guards against leases that are still considered valid right after the machine was
 * suspended, because the steady clock did not count the suspension.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createConfigLease } from "../gateway/create_config_lease.ts";
import { createElapsedClock } from "./create_elapsed_clock.ts";

function startClock() {
  const state = { steadyMs: 1_000, dayMs: 1_764_720_000_000 };
  const clock = createElapsedClock({
    steadyNow: () => state.steadyMs,
    dayNow: () => Math.floor(state.dayMs),
  });
  const pass = (ms: number) => {
    state.steadyMs += ms;
    state.dayMs += ms;
  };
  const suspend = (ms: number) => {
    state.dayMs += ms;
  };
  return { clock, pass, suspend };
}

test("without a suspension it follows the steady clock", () => {
  const { clock, pass } = startClock();
  for (let at = 0; at < 1_000; at++) {
    pass(3.3);
    clock.now();
  }
  assert.is(Math.round(clock.now()), 4_300);
  assert.is(clock.getLastWakeMs(), -Infinity);
});

test("a suspension is counted at the first reading after it", () => {
  const { clock, pass, suspend } = startClock();
  pass(500);
  suspend(6_000);
  assert.is(Math.round(clock.now()), 7_500);
  assert.is(clock.getLastWakeMs(), 1_500);
});

test("setting the wall clock back is ignored and hides no later suspension", () => {
  const { clock, pass, suspend } = startClock();
  suspend(-2_000);
  assert.is(clock.now(), 1_000);
  pass(100);
  suspend(3_000);
  assert.is(clock.now(), 4_100);
});

test("it never goes back, however the wall clock is set", () => {
  const { clock, pass, suspend } = startClock();
  let last = clock.now();
  for (const jumpMs of [5, -5, 2_000, -2_000, 30, -30, 19, 19, -100]) {
    suspend(jumpMs);
    pass(1);
    const next = clock.now();
    assert.ok(next > last);
    last = next;
  }
});

test("a configuration lease has expired after a suspension", () => {
  const { clock, pass, suspend } = startClock();
  const { now } = clock;
  const lease = createConfigLease({ revokeMs: 5_000, now });
  lease.confirm({ sentMs: now(), version: 1, held: 1 });
  pass(100);
  assert.ok(lease.isValid());
  suspend(5_000);
  assert.not.ok(lease.isValid());
  lease.confirm({ sentMs: now(), version: 1, held: 1 });
  assert.ok(lease.isValid());
});

test.run();
