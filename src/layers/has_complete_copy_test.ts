import { test } from "uvu";
import * as assert from "uvu/assert";
import { hasCompleteCopy, type PlacedRange } from "./has_complete_copy.ts";

function has(...ranges: readonly [string, number, number][]): boolean {
  const placed: PlacedRange[] = ranges.map(([place, fromLayer, toLayer]) => ({
    place,
    fromLayer,
    toLayer,
  }));
  return hasCompleteCopy(placed, { layers: 8 });
}

test("ranges of one data centre that overlap or meet form a copy", () => {
  assert.ok(has(["a", 4, 8], ["a", 0, 4]));
  assert.ok(has(["a", 0, 5], ["b", 0, 2], ["a", 3, 8]));
});

test("a gap, a missing end or another data centre leaves the copy incomplete", () => {
  assert.not(has(["a", 0, 3], ["a", 4, 8]));
  assert.not(has(["a", 0, 7]));
  assert.not(has(["a", 0, 4], ["b", 4, 8]));
  assert.not(has());
});

test.run();
