/**
 * A short soak test of engines that request a back-off or report that they leave, beside
 * restarts, freezes and the loss of a leader, with fixed seeds; `npm run soak:rests`
 * runs many.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  MAX_REQUESTS_IN_BACK_OFF,
  runRestSoak,
} from "./support/run_rest_soak.ts";

for (const seed of [1, 2]) {
  test(`back-offs and leaving engines are respected with seed ${seed}`, async () => {
    const report = await runRestSoak({ seed, lengthMs: 8_000 });
    const details = JSON.stringify(report);
    assert.ok(report.rests > 0 && report.leaves > 0, details);
    assert.ok(report.worstRest <= MAX_REQUESTS_IN_BACK_OFF, details);
    assert.is(report.lateAtHearer, 0, details);
    assert.is(report.lateAnywhere, 0, details);
    assert.is(report.spoilt, 0, details);
    assert.is(report.ranTwice, 0, details);
  });
}

test.run();
