/** Guards against a log without a reader that decides how a process ends. */

import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { openFullPipe } from "./support/open_full_pipe.ts";
import { openProgramTrial } from "./support/open_program_trial.ts";

const IP = "127.0.81.1";

for (const role of ["entry", "control"] as const) {
  test(`a program whose log has lost its reader ends with 0: ${role}`, async () => {
    await using trial = await openProgramTrial({ ip: IP });
    const program = await trial.start(role, { isLogPiped: true });
    const { child } = program;
    await until("it runs", program.isRunning);
    child.stdout?.destroy();
    child.kill("SIGHUP");
    child.kill("SIGTERM");
    assert.equal(await once(child, "exit"), [0, null]);
    assert.equal(program.readEnd(), { reason: "stopped", detail: "" });
  });

  test(`a program whose log is never read ends with 0: ${role}`, async () => {
    await using trial = await openProgramTrial({ ip: IP });
    using pipe = openFullPipe(trial.folder);
    const { descriptor } = pipe;
    const program = await trial.start(role, { logDescriptor: descriptor });
    const { child } = program;
    await until("it runs", program.isRunning);
    child.kill("SIGTERM");
    await until("it ends", () => child.exitCode !== null);
    assert.is(child.exitCode, 0);
    assert.equal(program.readEnd(), { reason: "stopped", detail: "" });
  });
}

test.run();
