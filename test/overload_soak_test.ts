/**
 * Guards against false refusals, incomplete answers, repeated runs, callers without an
 * answer, slow recovery and an inverted order of ranks, under more requests than fit and
 * faults with fixed seeds; `npm run soak:overload` runs many.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  listOverloadFaults,
  runOverloadSoak,
} from "./support/run_overload_soak.ts";

for (const seed of [1, 2]) {
  test(`requests of three priorities are answered truthfully under overload with seed ${seed}`, async () => {
    const report = await runOverloadSoak({ seed, lengthMs: 8_000 });
    assert.equal(listOverloadFaults(report), [], JSON.stringify(report));
  });
}

test.run();
