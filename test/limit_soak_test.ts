/**
 * A short soak of engines that name rate limits, beside restarts, freezes and the loss
 * of a leader, with fixed seeds; `npm run soak:limits` plays many.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { runLimitSoak } from "./support/run_limit_soak.ts";

for (const seed of [1, 2]) {
  test(`seed ${seed} of the soak keeps to the limits that engines name`, async () => {
    const report = await runLimitSoak({ seed, lengthMs: 16_000 });
    const told = JSON.stringify(report);
    assert.ok(report.windows > 0 && report.limitedRequests > 0, told);
    assert.ok(report.worstShare <= 1, told);
    assert.is(report.spoilt, 0, told);
    assert.is(report.ranTwice, 0, told);
  });
}

test.run();
