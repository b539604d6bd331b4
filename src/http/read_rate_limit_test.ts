import { test } from "uvu";
import * as assert from "uvu/assert";
import { readRateLimit } from "./read_rate_limit.ts";

test("a limit is a decimal number without a sign", () => {
  assert.is(readRateLimit("4.6"), 4.6);
  assert.is(readRateLimit(" 50 "), 50);
  assert.is(readRateLimit("0"), 0);
  assert.is(readRateLimit("0.25"), 0.25);
  assert.is(readRateLimit("999999999"), 999_999_999);
});

test("a missing header means no limit", () => {
  assert.is(readRateLimit(undefined), Infinity);
});

test("an invalid value means neither a limit nor that there is none", () => {
  for (
    const text of ["", "-1", "+4", "many", "4/s", "1e3", "NaN", "Infinity"]
  ) {
    assert.is(readRateLimit(text), undefined, text);
  }
  assert.is(readRateLimit("1".repeat(400)), undefined);
});

test("the smallest of several limits applies", () => {
  assert.is(readRateLimit(["4.6", "3"]), 3);
  assert.is(readRateLimit("4.6, 7"), 4.6);
  assert.is(readRateLimit(["many", "7"]), 7);
});

test.run();
