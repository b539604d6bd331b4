/** Guards against a signal that ends a process without a word. */

import { once } from "node:events";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { openProgramTrial } from "./support/open_program_trial.ts";
import { openServerTrial } from "./support/open_server_trial.ts";

const IP = "127.0.81.2";

/** Numbers of events. */
const EVENT = {
  stopped: "CL1003",
  settingsChanged: "CL1011",
  addressInUse: "CL1014",
  settingsKept: "CL1019",
};

const KINDS = [
  ["the platform's entry", "entry", openProgramTrial],
  ["the platform's control", "control", openProgramTrial],
  ["crowlever-entry", "entry", openServerTrial],
  ["crowlever-control", "control", openServerTrial],
] as const;

for (const [kind, role, openTrial] of KINDS) {
  test(`SIGHUP does not end a process that runs or stops: ${kind}`, async () => {
    await using trial = await openTrial({ ip: IP });
    const program = await trial.start(role, { isLogPiped: true });
    const { child, ids } = program;
    await until("it runs", program.isRunning);
    child.kill("SIGHUP");
    const handled = openTrial === openProgramTrial
      ? EVENT.settingsChanged
      : EVENT.settingsKept;
    await until("the signal is logged", () => ids.includes(handled));
    child.kill("SIGTERM");
    child.kill("SIGHUP");
    assert.equal(await once(child, "exit"), [0, null]);
  });

  test(`SIGTERM ends a process that is starting with 0 and a line: ${kind}`, async () => {
    await using trial = await openTrial({ ip: IP });
    const { child, ids, log } = await trial.start(role, { isLogPiped: true });
    if (log) await once(log, "data");
    child.kill("SIGTERM");
    assert.equal(await once(child, "close"), [0, null]);
    assert.ok(ids.includes(EVENT.stopped), ids.join(" "));
  });
}

for (const role of ["entry", "control"] as const) {
  test(`signals to a process that waits for its predecessor do what they should: ${role}`, async () => {
    await using trial = await openProgramTrial({ ip: IP });
    const settings = { bounds: { graceS: 30 } };
    const first = await trial.start(role, { isLogPiped: true }, settings);
    await until("the first one runs", first.isRunning);
    const second = await trial.start(role, { isLogPiped: true }, settings);
    const hasLogged = (id: string) => () => second.ids.includes(id);
    await until("the second one waits", hasLogged(EVENT.addressInUse));
    second.child.kill("SIGHUP");
    await until("it is logged", hasLogged(EVENT.settingsChanged));
    second.child.kill("SIGTERM");
    assert.equal(await once(second.child, "close"), [0, null]);
    assert.is(second.ids.at(-1), EVENT.stopped);
    assert.is(first.child.exitCode, null);
  });
}

/** Exits with 0 if SIGHUP is handled before the modules of the program are loaded. */
const CHECK_ORDER = `
process.on("newListener", (name) => {
  if (name !== "SIGHUP") return;
  process.exit(process.moduleLoadList.includes("NativeModule http2") ? 1 : 0);
});
`;

for (const role of ["entry", "control"] as const) {
  test(`SIGHUP is handled before the modules load: crowlever-${role}`, async () => {
    await using trial = await openServerTrial({ ip: IP });
    const hook = join(trial.folder, "check_order.cjs");
    await writeFile(hook, CHECK_ORDER);
    const { child } = await trial.start(role, { flags: ["--require", hook] });
    assert.equal(await once(child, "exit"), [0, null]);
  });
}

test.run();
