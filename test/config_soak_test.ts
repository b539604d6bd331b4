/**
 * A short soak of configurations with fixed seeds; `npm run soak:configs` plays many.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { runConfigSoak } from "./support/run_config_soak.ts";

for (const seed of [1, 2]) {
  test(`seed ${seed} of the soak keeps acknowledged configurations`, async () => {
    const report = await runConfigSoak({ seed, lengthMs: 8_000 });
    const told = JSON.stringify(report);
    assert.ok(report.acknowledged > 0 && report.invalid > 0, told);
    const { takenInvalid, reverted, foreign, misrouted } = report;
    assert.equal(
      { takenInvalid, reverted, foreign, misrouted },
      { takenInvalid: 0, reverted: 0, foreign: 0, misrouted: 0 },
      told,
    );
  });
}

test.run();
