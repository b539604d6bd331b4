import { test } from "uvu";
import * as assert from "uvu/assert";
import { compareUrgency } from "./compare_urgency.ts";

test("a return does not go before a new request of a more urgent rank", () => {
  const urgent = { rank: 0, isReturn: false };
  const returning = { rank: 1, isReturn: true };
  assert.ok(compareUrgency(urgent, returning) < 0);
  assert.ok(compareUrgency(returning, urgent) > 0);
});

test("a return goes before a new request of its rank", () => {
  const returning = { rank: 1, isReturn: true };
  const fresh = { rank: 1, isReturn: false };
  assert.ok(compareUrgency(returning, fresh) < 0);
  assert.ok(compareUrgency(fresh, returning) > 0);
  assert.is(compareUrgency(fresh, { ...fresh }), 0);
});

test.run();
