import { test } from "uvu";
import * as assert from "uvu/assert";
import { isLaterEvent } from "./is_later_event.ts";

for (
  const [id, previousId, expected] of [
    ["10", "9", true],
    ["9", "10", false],
    ["9", "9", false],
    ["1", undefined, true],
    ["1", "", true],
    [undefined, "9", true],
    [undefined, undefined, true],
    ["x", undefined, false],
    ["x", "9", false],
    ["x", "x", false],
    ["", "0", false],
    ["0", "-1", true],
    ["1e999", "9", false],
    ["1e999", undefined, false],
  ] as const
) {
  test(`an event with id ${id} after one with ${previousId} is later: ${expected}`, () => {
    assert.is(isLaterEvent(id, previousId), expected);
  });
}

test.run();
