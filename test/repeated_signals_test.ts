/**
 * Guards against a second SIGTERM that ends a gateway at once: the first one removed
 * the handler, so the second one cut all streams of the gateway that was leaving.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  isBadRun,
  restartGateways,
  runPauseSoak,
} from "./support/run_pause_soak.ts";

/** Streams that have to be whole for a run to show anything. */
const MIN_WHOLE = 30;

test("a gateway that gets SIGTERM twice cuts no stream", async () => {
  const report = await runPauseSoak({
    seed: 3,
    lengthMs: 6_000,
    shares: [0],
    disturbances: [restartGateways],
  });
  const text = JSON.stringify(report);
  assert.not(isBadRun(report), text);
  assert.ok(report.whole >= MIN_WHOLE, text);
});

test.run();
