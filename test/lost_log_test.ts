/** Guards against a log without a reader that decides how a process ends. */

import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { openFullPipe } from "./support/open_full_pipe.ts";
import { openProgramTrial } from "./support/open_program_trial.ts";
import { openServerTrial } from "./support/open_server_trial.ts";

const IP = "127.0.81.1";

const KINDS = [
  ["the platform's entry", "entry", openProgramTrial],
  ["the platform's control", "control", openProgramTrial],
  ["crowlever-entry", "entry", openServerTrial],
  ["crowlever-control", "control", openServerTrial],
] as const;

for (const [kind, role, openTrial] of KINDS) {
  test(`a program whose log has lost its reader goes on, and ends with 0: ${kind}`, async () => {
    await using trial = await openTrial({ ip: IP });
    const program = await trial.start(role, { isLogPiped: true });
    const { child, log } = program;
    await until("it runs", program.isRunning);
    log?.destroy();
    child.kill("SIGTERM");
    // The repetition is logged.
    child.kill("SIGTERM");
    assert.equal(await once(child, "exit"), [0, null]);
    assert.equal(program.readEnd(), { reason: "stopped", detail: "" });
  });

  test(`a program whose log is never read ends with 0: ${kind}`, async () => {
    await using trial = await openTrial({ ip: IP });
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
