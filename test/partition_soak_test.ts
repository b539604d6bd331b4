/**
 * A short soak test of gateways that lose their paths to all upstreams, with a fixed
 * seed; `npm run soak:partitions` runs many.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { isBadRun, runPartitionSoak } from "./support/run_partition_soak.ts";

test("first tries at gateways that are cut off again and again are served as at others with seed 1", async () => {
  const report = await runPartitionSoak({ seed: 1, lengthMs: 10_000 });
  assert.not(isBadRun(report), JSON.stringify(report));
});

test.run();
