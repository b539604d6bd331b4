/** Guards against a planned stop whose line a busy log drops. */

import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { openProgramTrial } from "./support/open_program_trial.ts";

/** Events of a reload and of an end. */
const RELOADED = "CL1011";
const STOPPED = "CL1003";

/** More signals than the log takes lines at once. */
const SIGNALS = 600;

test("a process that logs at its limit still logs that it stopped", async () => {
  await using trial = await openProgramTrial({ ip: "127.0.81.7" });
  const program = await trial.start("entry", { isLogPiped: true });
  const { child, ids } = program;
  await until("it runs", program.isRunning);
  for (let at = 0; at < SIGNALS; at++) {
    child.kill("SIGHUP");
    await sleep(1);
  }
  child.kill("SIGTERM");
  // A stop that waits would refill the limit.
  while (child.exitCode === null && child.signalCode === null) {
    child.kill("SIGHUP");
    await sleep(1);
  }
  if (!child.stdout?.closed) await once(child, "close");
  assert.ok(ids.includes(RELOADED));
  assert.ok(ids.includes(STOPPED), ids.slice(-5).join(" "));
  assert.is(child.exitCode, 0);
});

test.run();
