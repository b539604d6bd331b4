import { test } from "uvu";
import * as assert from "uvu/assert";
import { evictOldest } from "./evict_oldest.ts";

test("the oldest keys of a map and of a set are evicted", () => {
  const map = new Map([["a", 1], ["b", 2], ["c", 3]]);
  const set = new Set(["a", "b", "c"]);
  evictOldest(map, 2);
  evictOldest(set, 1);
  assert.equal([...map.keys()], ["b", "c"]);
  assert.equal([...set], ["c"]);
});

test("a collection at its maximum size keeps all keys", () => {
  const set = new Set(["a", "b"]);
  evictOldest(set, 2);
  assert.is(set.size, 2);
});

test("a key that is deleted and set again counts as the newest", () => {
  const map = new Map([["a", 1], ["b", 2]]);
  map.delete("a");
  map.set("a", 3);
  evictOldest(map, 1);
  assert.equal([...map.keys()], ["a"]);
});

test.run();
