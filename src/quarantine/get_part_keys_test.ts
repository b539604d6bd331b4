import { test } from "uvu";
import * as assert from "uvu/assert";
import { getPartKeys, isPartKey } from "./get_part_keys.ts";

test("the last part is never shared, and each part has one key", () => {
  assert.equal(getPartKeys([]), []);
  assert.equal(getPartKeys(["a1"]), []);
  assert.equal(getPartKeys(["a1", "b2"]), ["part:a1"]);
  assert.equal(getPartKeys(["a1", "A1", "b2", "b2"]), ["part:a1", "part:b2"]);
});

test("keys are short and bounded in number, whatever the ids are", () => {
  const odd = getPartKeys(["not hex", "f".repeat(8_000), "last"]);
  assert.is(odd.length, 2);
  assert.ok(odd.every((key) => isPartKey(key) && key.length < 40));
  const many = Array.from({ length: 1_000 }, (_, at) => at.toString(16));
  assert.is(getPartKeys(many).length, 64);
});

test("the keys of requests are not those of parts", () => {
  assert.not.ok(isPartKey("tpuWNBAVasfkS-O8"));
});

test.run();
