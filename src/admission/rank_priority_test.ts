import { test } from "uvu";
import * as assert from "uvu/assert";
import { rankPriority } from "./rank_priority.ts";

const PRIORITIES = [[2, 2], [1, 0], [0, 0], [1, 2]] as const;

test("the rank is the number of more urgent priorities, whatever their order", () => {
  const ranks = PRIORITIES.map((one) => rankPriority(one, PRIORITIES));
  assert.equal(ranks, [3, 1, 0, 2]);
});

test("equal priorities count once", () => {
  assert.is(rankPriority([1, 1], [[0, 0], [0, 0], [0, 1], [1, 1]]), 2);
});

test("the only priority of a service is the most urgent, whatever its number", () => {
  assert.is(rankPriority([7, 7], [[7, 7]]), 0);
  assert.is(rankPriority([7, 7], []), 0);
});

test.run();
