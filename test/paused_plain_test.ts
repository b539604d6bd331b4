/**
 * Guards against plain calls that end without the head of an answer, late, or refused
 * although they run, while their upstreams stand still beside planned work. Upstreams,
 * gateways and control processes are real processes.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  isBadPlainRun,
  runPlainPauseSoak,
} from "./support/run_plain_pause_soak.ts";

/** Calls that have to be answered for a run to show anything. */
const MIN_WHOLE = 300;

test("each plain call gets an answer or a refusal in time beside pauses, planned work and the loss of the leader with seed 1", async () => {
  const report = await runPlainPauseSoak({ seed: 1, lengthMs: 12_000 });
  const text = JSON.stringify(report);
  assert.not(isBadPlainRun(report), text);
  assert.ok(report.safe.whole + report.once.whole >= MIN_WHOLE, text);
  assert.ok(report.pausesOfAll + report.pausesOfSome > 0, text);
});

test.run();
