import { test } from "uvu";
import * as assert from "uvu/assert";
import { readFile } from "node:fs/promises";
import { EVENTS } from "../src/logs/index.ts";
import { makeGeneratedFiles } from "./format_pages.ts";

for (const { path, text } of makeGeneratedFiles()) {
  test(`${path} is up to date with the code`, async () => {
    assert.is(await readFile(path, "utf8"), text);
  });
}

test("every event has a unique number", () => {
  const ids = Object.values(EVENTS).map((event) => event.id);
  assert.is(new Set(ids).size, ids.length);
  assert.ok(ids.every((id) => /^CL1[0-8]\d\d$/.test(id)));
});

test.run();
