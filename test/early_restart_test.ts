/** Guards against a program that ends by itself when it meets its predecessor. */

import { type ChildProcess, execFileSync } from "node:child_process";
import { once } from "node:events";
import { mkdir, mkdtemp, readdir, rm } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { spawnProgram } from "../scripts/spawn_program.ts";

const IP = "127.0.79.1";

/** Ids of log lines. */
const EVENT = {
  started: "CL1001",
  startCounted: "CL1016",
  addressInUse: "CL1014",
  startFailed: "CL1010",
};

interface Line {
  readonly id: string;
  readonly [field: string]: unknown;
}

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
    const lines: Line[] = [];
    const ids: string[] = [];
    if (child.stdout) {
      createInterface({ input: child.stdout }).on("line", (line) => {
        if (!line.startsWith("{")) return;
        lines.push(JSON.parse(line));
        ids.push(lines[lines.length - 1].id);
      });
    }
    return { child, lines, ids };
  }
  return {
    folder,
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

  test(`a program whose predecessor goes on logs the address in use and ends: ${role}`, async () => {
    await using trial = await openTrial();
    const first = await trial.start(role);
    await until(
      "the first one runs",
      () => first.ids.includes(EVENT.started),
    );
    const second = await trial.start(role);
    const [code] = await once(second.child, "close");
    assert.is(code, 3);
    assert.ok(second.ids.includes(EVENT.addressInUse));
    assert.is(second.ids.at(-1), EVENT.startFailed);
    assert.is(first.child.exitCode, null);
  });
}

test("an entry waits for its callers' address while another process holds it", async () => {
  await using trial = await openTrial();
  const other = createServer().listen({ host: IP, port: 7_901 });
  await once(other, "listening");
  const entry = await trial.start("entry");
  await until("it waits", () => entry.ids.includes(EVENT.addressInUse));
  other.close();
  await once(other, "close");
  await until("it runs", () => entry.ids.includes(EVENT.started));
});

test("a start that fails leaves the data folder as it is, and the next one counts it", async () => {
  await using trial = await openTrial();
  const dataFolder = join(trial.folder, "control");
  await mkdir(dataFolder);
  const other = createServer().listen({ host: IP, port: 7_903 });
  await once(other, "listening");
  const failing = await trial.start("control");
  const [code] = await once(failing.child, "close");
  assert.is(code, 3);
  assert.is(failing.ids.at(-1), EVENT.startFailed);
  assert.equal(await readdir(dataFolder), ["starts-control.json"]);
  other.close();
  await once(other, "close");
  const next = await trial.start("control");
  await until("it runs", () => next.ids.includes(EVENT.started));
  const counted = next.lines.find(({ id }) => id === EVENT.startCounted);
  assert.equal(counted?.startsAfter, { stop: 0, failure: 1, unrecordedEnd: 0 });
});

test.run();
