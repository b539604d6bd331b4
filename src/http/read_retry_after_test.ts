import { test } from "uvu";
import * as assert from "uvu/assert";
import { readRetryAfter } from "./read_retry_after.ts";

const DATE = "Sun, 06 Nov 1994 08:49:37 GMT";
const LATER = "Sun, 06 Nov 1994 08:49:40 GMT";

const ROWS: readonly [
  name: string,
  value: string | readonly string[] | undefined,
  expectedMs: number | undefined,
][] = [
  ["nothing", undefined, undefined],
  ["whole seconds", "3", 3_000],
  ["fractions", "0.25", 250],
  ["less than a millisecond", "0.0004", 1],
  ["zero", "0", undefined],
  ["an hour", "3600", 3_600_000],
  ["a month", "2592000", 3_600_000],
  ["too many digits", "99999999999999999999", undefined],
  ["a negative number", "-3", undefined],
  ["an exponent", "1e3", undefined],
  ["hexadecimal digits", "0x10", undefined],
  ["text", "later", undefined],
  ["an empty text", "", undefined],
  ["not a number", "NaN", undefined],
  ["infinity", "Infinity", undefined],
  ["two lines", ["1", "3"], 3_000],
  ["two values in one line", "3, 1", 3_000],
  ["two lines of which one is invalid", ["soon", "2"], 2_000],
  ["two lines of which one is zero", ["0", "2"], 2_000],
  ["a date", LATER, 3_000],
  ["a date that is not in the future", DATE, undefined],
  ["a text that Date.parse accepts as a date", "3 May", undefined],
];

for (const [name, value, expectedMs] of ROWS) {
  test(`${name} is parsed as ${expectedMs ?? "undefined"}`, () => {
    assert.is(readRetryAfter(value, { date: DATE }), expectedMs);
  });
}

test("a date is ignored if the response has no Date", () => {
  assert.is(readRetryAfter(LATER), undefined);
});

test.run();
