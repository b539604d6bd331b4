/**
 * A short soak test of engines that set rate limits, beside restarts, freezes and the
 * loss of a leader, with fixed seeds; `npm run soak:limits` runs many.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { runLimitSoak } from "./support/run_limit_soak.ts";

for (const seed of [1, 2]) {
  test(`the rate limits of engines are kept with seed ${seed}`, async () => {
    const report = await runLimitSoak({ seed, lengthMs: 16_000 });
    const details = JSON.stringify(report);
    assert.ok(report.windows > 0 && report.limitedRequests > 0, details);
    assert.ok(report.worstShare <= 1, details);
    assert.is(report.spoilt, 0, details);
    assert.is(report.ranTwice, 0, details);
  });
}

test.run();
