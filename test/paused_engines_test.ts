/**
 * Guards against streams that a gateway ends because its engines are silent for a
 * while: streams that had run on two silent engines were closed with 19 of 20 s left.
 * Engines, gateways and control processes are real processes.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  changeConfigs,
  isBadRun,
  type PauseSoakReport,
  runPauseSoak,
} from "./support/run_pause_soak.ts";

/** Streams that have to be whole for a run to show anything. */
const MIN_WHOLE = 30;

function assertNoneCut(report: PauseSoakReport): void {
  const text = JSON.stringify(report);
  assert.not(isBadRun(report), text);
  assert.ok(report.whole >= MIN_WHOLE, text);
}

test("no stream is cut while all engines pause together beside changes of the configuration", async () => {
  const report = await runPauseSoak({
    seed: 1,
    lengthMs: 12_000,
    shares: [1],
    pauseMs: [1_000, 1_300],
    disturbances: [changeConfigs],
  });
  assertNoneCut(report);
});

test("no stream is cut while engines pause beside signals and the loss of the leader with seed 2", async () => {
  const report = await runPauseSoak({ seed: 2, lengthMs: 20_000 });
  assertNoneCut(report);
});

test.run();
