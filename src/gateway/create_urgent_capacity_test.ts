import { test } from "uvu";
import * as assert from "uvu/assert";
import { createUrgentCapacity } from "./create_urgent_capacity.ts";

test("refusals within 100 ms share one path search for each service", () => {
  const clock = { ms: 0 };
  const urgentCapacity = createUrgentCapacity({ now: () => clock.ms });
  const searches: string[] = [];
  const isLeft = (service: string, result: boolean) =>
    urgentCapacity.isLeft(service, () => {
      searches.push(service);
      return result;
    });
  assert.ok(isLeft("a", true));
  clock.ms = 99;
  assert.ok(isLeft("a", false));
  assert.not(isLeft("b", false));
  clock.ms = 100;
  assert.not(isLeft("a", false));
  assert.equal(searches, ["a", "b", "a"]);
});

test.run();
