import { test } from "uvu";
import * as assert from "uvu/assert";
import { createUrgentShortage } from "./create_urgent_shortage.ts";

test("a shortage counts for less urgent requests of the service, for 5 s", () => {
  const clock = { ms: 0 };
  const shortage = createUrgentShortage({ now: () => clock.ms });
  shortage.note("s", 1);
  assert.ok(shortage.isShort("s", 2));
  assert.not(shortage.isShort("s", 1));
  assert.not(shortage.isShort("s", 0));
  assert.not(shortage.isShort("other", 2));
  clock.ms = 4_999;
  assert.ok(shortage.isShort("s", 2));
  clock.ms = 5_000;
  assert.not(shortage.isShort("s", 2));
});

test.run();
