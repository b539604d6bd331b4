import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  getMeanStepFactor,
  makeLayerEngines,
  planEqualCapacity,
  planFromScratch,
} from "./layers.ts";

test("planned paths are faster than with equal token capacity on every engine", () => {
  const engines = makeLayerEngines({ large: 1, medium: 10, slow: 4 });
  // 7.25 times the base step with equal capacity, 5.06 as planned.
  assert.ok(getMeanStepFactor(planEqualCapacity(engines)) > 7.2);
  assert.ok(getMeanStepFactor(planFromScratch(engines)) < 5.1);
});

test("two fast cards in one data centre halve the step time of its paths", () => {
  const engines = makeLayerEngines({ large: 2, medium: 4, slow: 4 });
  // 7.06 times the base step with equal capacity, 3.47 as planned.
  assert.ok(getMeanStepFactor(planEqualCapacity(engines)) > 7);
  assert.ok(getMeanStepFactor(planFromScratch(engines)) < 3.5);
});

test.run();
