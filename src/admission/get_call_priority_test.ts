import { test } from "uvu";
import * as assert from "uvu/assert";
import { comparePriorities } from "./compare_priorities.ts";
import { getCallPriority } from "./get_call_priority.ts";

const ROUTE = { priority: 2 };

test("the account's priority comes before the route's, also where it is 0", () => {
  assert.equal(
    getCallPriority({ route: ROUTE, account: { priority: 0 } }),
    [0, 2],
  );
  assert.equal(
    getCallPriority({ route: ROUTE, account: { priority: 7 } }),
    [7, 2],
  );
});

test("an account without a priority, or no account, leaves the route's", () => {
  assert.equal(getCallPriority({ route: ROUTE, account: {} }), [2, 2]);
  assert.equal(getCallPriority({ route: ROUTE, account: undefined }), [2, 2]);
});

test("the route orders only requests whose first priority is equal", () => {
  const priorities = [[2, 0], [1, 2], [1, 0], [0, 9]] as const;
  assert.equal(
    [...priorities].sort(comparePriorities),
    [[0, 9], [1, 0], [1, 2], [2, 0]],
  );
  assert.is(comparePriorities([1, 2], [1, 2]), 0);
});

test.run();
