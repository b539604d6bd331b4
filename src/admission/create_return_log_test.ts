import { test } from "uvu";
import * as assert from "uvu/assert";
import { createReturnLog } from "./create_return_log.ts";

function startLog() {
  const clock = { ms: 5_000 };
  return { clock, returnLog: createReturnLog({ now: () => clock.ms }) };
}

test("a request counts as returned from nine tenths of its Retry-After on", () => {
  const { clock, returnLog } = startLog();
  returnLog.noteRefused("a", {
    retryAfterMs: 1_000,
    isReserved: true,
  });
  clock.ms += 899;
  assert.not(returnLog.takeReturn("a"));
  clock.ms += 1;
  assert.ok(returnLog.takeReturn("a"));
  assert.not(returnLog.takeReturn("b"));
});

test("a return for which no capacity is reserved is a new request", () => {
  const { clock, returnLog } = startLog();
  const retryAfterMs = 1_000;
  returnLog.noteRefused("a", { retryAfterMs, isReserved: true });
  returnLog.noteRefused("a", { retryAfterMs, isReserved: false });
  clock.ms += retryAfterMs;
  assert.not(returnLog.takeReturn("a"));
});

test("a refusal counts for one return", () => {
  const { clock, returnLog } = startLog();
  returnLog.noteRefused("a", {
    retryAfterMs: 1_000,
    isReserved: true,
  });
  clock.ms += 1_000;
  assert.ok(returnLog.takeReturn("a"));
  assert.not(returnLog.takeReturn("a"));
});

test("an early return that is refused again has to wait for its new Retry-After", () => {
  const { clock, returnLog } = startLog();
  returnLog.noteRefused("a", {
    retryAfterMs: 3_000,
    isReserved: true,
  });
  clock.ms += 1_000;
  assert.not(returnLog.takeReturn("a"));
  returnLog.noteRefused("a", {
    retryAfterMs: 3_000,
    isReserved: true,
  });
  clock.ms += 2_000;
  assert.not(returnLog.takeReturn("a"));
  clock.ms += 1_000;
  assert.ok(returnLog.takeReturn("a"));
});

test("a request that was admitted early does not count as returned later", () => {
  const { clock, returnLog } = startLog();
  returnLog.noteRefused("a", {
    retryAfterMs: 1_000,
    isReserved: true,
  });
  returnLog.noteAdmitted("a");
  clock.ms += 1_000;
  assert.not(returnLog.takeReturn("a"));
});

test("a refusal is kept for 10 s", () => {
  const { clock, returnLog } = startLog();
  returnLog.noteRefused("a", {
    retryAfterMs: 7_200,
    isReserved: true,
  });
  returnLog.noteRefused("b", {
    retryAfterMs: 7_200,
    isReserved: true,
  });
  clock.ms += 9_999;
  assert.ok(returnLog.takeReturn("a"));
  clock.ms += 1;
  assert.not(returnLog.takeReturn("b"));
});

test("2,000 refused requests are kept: the newest", () => {
  const { clock, returnLog } = startLog();
  for (let at = 0; at < 2_001; at += 1) {
    returnLog.noteRefused(`${at}`, {
      retryAfterMs: 1_000,
      isReserved: true,
    });
  }
  clock.ms += 1_000;
  assert.not(returnLog.takeReturn("0"));
  assert.ok(returnLog.takeReturn("1"));
  assert.ok(returnLog.takeReturn("2000"));
});

test.run();
