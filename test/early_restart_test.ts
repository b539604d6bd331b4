/** Guards against a program that ends by itself when it meets its predecessor. */

import { type ChildProcess, execFileSync } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { spawnProgram } from "../scripts/spawn_program.ts";

const IP = "127.0.79.1";

/** Lines of a log: a start, a wait for an address, a start that failed, a shutdown. */
const EVENT = {
  started: "CL1001",
  addressInUse: "CL1014",
  startFailed: "CL1010",
};

async function openTrial() {
  const folder = await mkdtemp(join(tmpdir(), "restart-"));
  const file = join(folder, "program.cjs");
  execFileSync(process.execPath, [
    "scripts/build_target.mjs",
    "--readable",
    file,
  ]);
  const children: ChildProcess[] = [];
  async function start(role: "entry" | "control") {
    const listen = role === "entry"
      ? { front: `${IP}:7901`, ready: `${IP}:7902` }
      : { control: `${IP}:7903` };
    const child = await spawnProgram(role, {
      file,
      folder,
      isLogPiped: true,
      settings: {
        nodeId: role,
        zone: "place-1",
        ip: IP,
        listen,
        internalPorts: [7904],
        seeds: [`${IP}:7903`],
        bootstrap: true,
        dataDir: join(folder, role),
        faultTolerance: { machines: 0 },
        bounds: { graceS: 0 },
      },
    });
    children.push(child);
    const ids: string[] = [];
    if (child.stdout) {
      createInterface({ input: child.stdout }).on("line", (line) => {
        if (line.startsWith("{")) ids.push(JSON.parse(line).id);
      });
    }
    return { child, ids };
  }
  return {
    start,
    async [Symbol.asyncDispose]() {
      for (const child of children) {
        if (child.exitCode !== null || child.signalCode !== null) continue;
        child.kill("SIGKILL");
        await once(child, "exit");
      }
      await rm(folder, { recursive: true, force: true });
    },
  };
}

for (const role of ["entry", "control"] as const) {
  test(`a program that is started before its predecessor has ended waits for it: ${role}`, async () => {
    await using trial = await openTrial();
    const first = await trial.start(role);
    const hasStarted = (ids: readonly string[]) => ids.includes(EVENT.started);
    await until("the first one runs", () => hasStarted(first.ids));
    const second = await trial.start(role);
    await until(
      "the second one waits",
      () => second.ids.includes(EVENT.addressInUse),
    );
    first.child.kill("SIGKILL");
    await until("the second one runs", () => hasStarted(second.ids));
    assert.is(second.child.exitCode, null);
  });

  test(`a program whose predecessor goes on ends with a line that says so: ${role}`, async () => {
    await using trial = await openTrial();
    const first = await trial.start(role);
    await until(
      "the first one runs",
      () => first.ids.includes(EVENT.started),
    );
    const second = await trial.start(role);
    const [code] = await once(second.child, "close");
    assert.is(code, 3);
    assert.is(second.ids.at(-1), EVENT.startFailed);
    assert.is(first.child.exitCode, null);
  });
}

test.run();
