import { test } from "uvu";
import * as assert from "uvu/assert";
import { findMapChanges } from "./find_map_changes.ts";

const isSame = (a: number, b: number) => a === b;

test("new and different values are reported as changed, missing keys as gone", () => {
  const before = new Map([["same", 1], ["other", 2], ["gone", 3]]);
  const after = new Map([["new", 4], ["same", 1], ["other", 5]]);
  assert.equal(findMapChanges(before, after, isSame), {
    changed: [4, 5],
    gone: ["gone"],
  });
});

test("an equal map has no changes", () => {
  const map = new Map([["a", 1]]);
  assert.equal(findMapChanges(map, new Map(map), isSame), {
    changed: [],
    gone: [],
  });
});

test.run();
