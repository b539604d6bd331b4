/**
 * A short soak test of configuration changes with fixed seeds; `npm run soak:configs`
 * runs many.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { runConfigSoak } from "./support/run_config_soak.ts";

for (const seed of [1, 2]) {
  test(`no acknowledged configuration is lost with seed ${seed}`, async () => {
    const report = await runConfigSoak({ seed, lengthMs: 8_000 });
    const details = JSON.stringify(report);
    assert.ok(report.acknowledged > 0 && report.invalid > 0, details);
    const { takenInvalid, reverted, foreign, misrouted } = report;
    assert.equal(
      { takenInvalid, reverted, foreign, misrouted },
      { takenInvalid: 0, reverted: 0, foreign: 0, misrouted: 0 },
      details,
    );
  });
}

test.run();
