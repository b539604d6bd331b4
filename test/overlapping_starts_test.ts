/** Guards against a data folder that is changed by two processes. */

import { fork } from "node:child_process";
import { once } from "node:events";
import { appendFile, readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { prepareControls, putConfig } from "./support/prepare_controls.ts";

const CONTROL_PROGRAM = fileURLToPath(
  new URL("support/control_process.js", import.meta.url),
);

/** The first bytes of a record that the running process is still writing. */
const UNFINISHED_WRITE = "CLF1 unfinished";

async function findLog(folder: string): Promise<string> {
  const names = await readdir(folder);
  return join(folder, names.find((name) => name.startsWith("log-")) ?? "");
}

test("a second start leaves the log of the running process as it is", async () => {
  await using trial = await prepareControls(1);
  const seeds = [trial.addresses[0]];
  const options = { seeds, voters: 1, folderName: "shared" };
  const running = await trial.start(0, options);
  await until(
    "it accepts a configuration",
    async () => (await putConfig(running, 1)).type === "done",
  );
  const dataFolder = join(trial.folder, "shared");
  const log = await findLog(dataFolder);
  await appendFile(log, UNFINISHED_WRITE);
  const child = fork(CONTROL_PROGRAM, [JSON.stringify({
    ...trial.addresses[0],
    ...options,
    fleetId: "test",
    dataFolder,
    isFirstStart: false,
    upstreamHeartbeatIntervalMs: 200,
    retryBudget: { ratio: 0.2, extra: 100, windowMs: 10_000 },
  })], { stdio: ["ignore", "pipe", "inherit", "ipc"] });
  const [code] = await once(child, "exit");
  assert.is(code, 3);
  const text = await readFile(log, "latin1");
  assert.ok(text.endsWith(UNFINISHED_WRITE));
});

test.run();
