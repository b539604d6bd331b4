import { test } from "uvu";
import * as assert from "uvu/assert";
import { createOpenRuns } from "./create_open_runs.ts";

test("a run that was set aside stays open until another one goes on", () => {
  const runs = createOpenRuns<string>();
  runs.add("a");
  runs.setAside("a");
  assert.is(runs.getCurrent(), undefined);
  runs.add("b");
  assert.ok(runs.isOpen("a"));
  assert.equal(runs.resume("b"), ["a"]);
  assert.not(runs.isOpen("a"));
  assert.is(runs.getCurrent(), "b");
});

test("a run that was set aside serves the call again once it goes on", () => {
  const runs = createOpenRuns<string>();
  runs.add("a");
  runs.setAside("a");
  runs.add("b");
  runs.setAside("b");
  runs.add("c");
  assert.equal(runs.resume("a"), ["b", "c"]);
  assert.is(runs.getCurrent(), "a");
  assert.equal(runs.listSetAside(), []);
});

test("the end of a run that was set aside is not the end of the current one", () => {
  const runs = createOpenRuns<string>();
  runs.add("a");
  runs.setAside("a");
  runs.add("b");
  assert.not(runs.remove("a"));
  assert.is(runs.getCurrent(), "b");
  assert.ok(runs.remove("b"));
  assert.is(runs.getCurrent(), undefined);
});

test.run();
