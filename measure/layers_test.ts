import { test } from "uvu";
import * as assert from "uvu/assert";
import { getPace, makeLayerEngines, planAnew, spreadEvenly } from "./layers.ts";

test("paths are faster than with the same room for tokens on every engine", () => {
  const engines = makeLayerEngines({ large: 1, medium: 10, slow: 4 });
  // Before: 7.25 times the base step; after: 5.06.
  assert.ok(getPace(spreadEvenly(engines)) > 7.2);
  assert.ok(getPace(planAnew(engines)) < 5.1);
});

test("two fast cards in one data centre halve the pace of its paths", () => {
  const engines = makeLayerEngines({ large: 2, medium: 4, slow: 4 });
  // Before: 7.06 times the base step; after: 3.47.
  assert.ok(getPace(spreadEvenly(engines)) > 7);
  assert.ok(getPace(planAnew(engines)) < 3.5);
});

test.run();
