/** Guards against two events with one number, which a log can't tell apart. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { EVENTS } from "./events.ts";

test("no two events share a number", () => {
  const ids = Object.values(EVENTS).map(({ id }) => id);
  const repeated = ids.filter((id, at) => ids.indexOf(id) !== at);
  assert.equal(repeated, []);
});

test.run();
