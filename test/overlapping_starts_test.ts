/** Guards against a data folder that is changed by two processes. */

import { fork } from "node:child_process";
import { once } from "node:events";
import { appendFile, readdir, readFile, readlink } from "node:fs/promises";
import { join } from "node:path";
import { setImmediate as nextTurn } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { openPeerListener, type PeerListener } from "../src/fleet/index.ts";
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
  let output = "";
  child.stdout?.on("data", (chunk) => output += chunk);
  const [code] = await once(child, "close");
  assert.is(code, 3);
  assert.match(output, /EADDRINUSE/);
  const text = await readFile(log, "latin1");
  assert.ok(text.endsWith(UNFINISHED_WRITE));
  await trial.stop(running);
  const again = await trial.start(0, { ...options, isFirstStart: false });
  await until(
    "the configuration is read back",
    async () => (await again.call({ type: "readConfig" })).type === "document",
  );
});

/** Lists the files below a folder that this process has open. */
async function listOpenFiles(folder: string): Promise<string[]> {
  const descriptors = await readdir("/proc/self/fd");
  const paths = await Promise.all(
    descriptors.map((name) =>
      readlink(join("/proc/self/fd", name)).catch(() => "")
    ),
  );
  return paths.filter((path) => path.startsWith(folder));
}

test("the address is free only once the data folder is closed", async () => {
  await using trial = await prepareControls(1);
  const [{ peerAddress }] = trial.addresses;
  const seeds = trial.addresses;
  const running = await trial.start(0, { seeds, voters: 1 });
  assert.ok((await listOpenFiles(trial.folder)).length > 0);
  const stopping = trial.stop(running);
  let listener: PeerListener | undefined;
  while (!listener) {
    await nextTurn();
    listener = await openPeerListener(peerAddress).catch(() => undefined);
  }
  const openFiles = await listOpenFiles(trial.folder);
  await stopping;
  await listener[Symbol.asyncDispose]();
  assert.equal(openFiles, []);
});

test.run();
