/** Guards against a process that ends by itself without a line that names the reason. */

import { once } from "node:events";
import { closeSync, openSync, readFileSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { openProgramTrial } from "./support/open_program_trial.ts";
import { openServerTrial } from "./support/open_server_trial.ts";

const IP = "127.0.81.4";

/** Event of a process that ends after an unexpected error. */
const FAILED = "CL1015";

/** Code that fails inside a program when it gets SIGUSR2. */
const FAILURES: Readonly<Record<string, string>> = {
  "an exception": `throw new Error("broken");`,
  "a rejection": `Promise.reject(new Error("broken"));`,
  "a value that can't be serialized":
    `const broken = {}; broken.self = broken; throw broken;`,
};

const KINDS = [
  ["the platform's entry", "entry", openProgramTrial],
  ["the platform's control", "control", openProgramTrial],
  ["crowlever-entry", "entry", openServerTrial],
  ["crowlever-control", "control", openServerTrial],
] as const;

async function prepareFailure(folder: string, code: string) {
  const hook = join(folder, "fail.cjs");
  await writeFile(hook, `process.on("SIGUSR2", () => { ${code} });`);
  return ["--require", hook];
}

for (const [kind, role, openTrial] of KINDS) {
  for (const [failure, code] of Object.entries(FAILURES)) {
    test(`${failure} ends a process with 4 and a line over a pipe: ${kind}`, async () => {
      await using trial = await openTrial({ ip: IP });
      const flags = await prepareFailure(trial.folder, code);
      const program = await trial.start(role, { isLogPiped: true, flags });
      const { child, ids } = program;
      await until("it runs", program.isRunning);
      child.kill("SIGUSR2");
      assert.equal(await once(child, "close"), [4, null]);
      assert.ok(ids.includes(FAILED), ids.join(" "));
      assert.match(
        JSON.stringify(program.readEnd()),
        /"failed".*(broken|self)/,
      );
    });
  }

  test(`an exception ends a process with 4 and a line in a file: ${kind}`, async () => {
    await using trial = await openTrial({ ip: IP });
    const flags = await prepareFailure(trial.folder, FAILURES["an exception"]);
    const file = join(trial.folder, "log");
    const descriptor = openSync(file, "a");
    const program = await trial.start(role, {
      logDescriptor: descriptor,
      flags,
    });
    closeSync(descriptor);
    await until("it runs", program.isRunning);
    program.child.kill("SIGUSR2");
    assert.equal(await once(program.child, "close"), [4, null]);
    assert.match(readFileSync(file, "utf8"), FAILED);
  });

  test(`an exception ends a process whose log has no reader with 4: ${kind}`, async () => {
    await using trial = await openTrial({ ip: IP });
    const flags = await prepareFailure(trial.folder, FAILURES["an exception"]);
    const program = await trial.start(role, { isLogPiped: true, flags });
    await until("it runs", program.isRunning);
    program.log?.destroy();
    program.child.kill("SIGUSR2");
    assert.equal(await once(program.child, "close"), [4, null]);
    assert.equal(program.readEnd(), { reason: "failed", detail: "broken" });
  });
}

test.run();
