/** What control processes do whose data folders are damaged. */

import { readdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { FleetControl } from "../src/fleet/index.ts";
import {
  listVoterIds,
  prepareControls,
  putConfig,
} from "./support/prepare_controls.ts";

const AT = [0, 1, 2];

type Trial = Awaited<ReturnType<typeof prepareControls>>;

function start(trial: Trial, at: number, isFirstStart = false) {
  return trial.start(at, {
    seeds: trial.addresses,
    voters: 3,
    folderName: `disk-${at}`,
    isFirstStart,
  });
}

/** Starts three processes; resolves once all have stored an accepted configuration. */
async function startAll(trial: Trial): Promise<FleetControl[]> {
  const controls = await Promise.all(AT.map((at) => start(trial, at, true)));
  await until(
    "a configuration is accepted",
    async () => (await putConfig(controls[0], 7)).type === "done",
  );
  await until("all have stored it", () => {
    const indexes = controls.map((one) => one.getState().syncedIndex);
    return new Set(indexes).size === 1;
  });
  return controls;
}

/** Damages the first record of a log, which others follow. */
async function damageLog(trial: Trial, at: number): Promise<void> {
  const folder = join(trial.folder, `disk-${at}`);
  const names = await readdir(folder);
  const path = join(
    folder,
    names.find((name) => name.startsWith("log-")) ?? "",
  );
  const bytes = await readFile(path);
  bytes[20] ^= 0x40;
  await writeFile(path, bytes);
}

async function readConfig(control: FleetControl): Promise<string> {
  const reply = await control.call({ type: "readConfig" });
  return JSON.stringify(reply);
}

// Guards against a process that ends at each start, for good, while the other replicas
// hold all that was acknowledged.
for (const role of ["leader", "follower"] as const) {
  test(`a replica with a damaged log becomes a voter again: ${role}`, async () => {
    await using trial = await prepareControls(3);
    const controls = await startAll(trial);
    const accepted = await readConfig(controls[0]);
    assert.match(accepted, /"type":"document","document":"/);
    const at = controls.findIndex((one) => one.getState().role === role);
    const oldId = controls[at].getState().selfId;
    await trial.stop(controls[at]);
    await damageLog(trial, at);
    controls[at] = await start(trial, at);
    assert.is.not(controls[at].getState().selfId, oldId);
    const ids = controls.map((one) => one.getState().selfId).sort();
    await until("exactly the running replicas are voters", () => {
      const leader = controls.find((one) => one.getState().role === "leader");
      return leader !== undefined &&
        JSON.stringify(listVoterIds(leader)) === JSON.stringify(ids);
    });
    // It holds the configuration itself: with one of the others it is a majority.
    const other = (at + 1) % 3;
    await trial.stop(controls[other]);
    await until(
      "the configuration is read back",
      async () => await readConfig(controls[at]) === accepted,
    );
  });
}

// Guards against acknowledged state that is dropped: folders without a cluster would
// form a new one.
for (const isFirstStart of [false, true]) {
  test(`replicas with damaged logs form no cluster: ${isFirstStart ? "first" : "later"} start`, async () => {
    await using trial = await prepareControls(3);
    const controls = await startAll(trial);
    for (const control of controls) await trial.stop(control);
    const before = [];
    for (const at of AT) {
      await damageLog(trial, at);
      before.push(await readFolder(join(trial.folder, `disk-${at}`)));
    }
    const restarted = await Promise.all(
      AT.map((at) => start(trial, at, isFirstStart)),
    );
    await sleep(4_000);
    for (const [at, control] of restarted.entries()) {
      const { role, term, members } = control.getState();
      assert.equal([role, term, members], ["follower", 0, []]);
      assert.is.not((await putConfig(control, 8)).type, "done");
      const moved = join(trial.folder, `disk-${at}`, "damaged-1");
      assert.equal(await readFolder(moved), before[at]);
    }
  });
}

async function readFolder(folder: string): Promise<Record<string, string>> {
  const files: Record<string, string> = {};
  for (const name of (await readdir(folder)).sort()) {
    files[name] = await readFile(join(folder, name), "latin1");
  }
  return files;
}

// Guards against a cluster formed by one lost disk and replacements of damaged logs.
test("a replica with a lost disk forms no cluster with replacements of damaged ones", async () => {
  await using trial = await prepareControls(3);
  const controls = await startAll(trial);
  for (const control of controls) await trial.stop(control);
  await damageLog(trial, 0);
  await damageLog(trial, 1);
  const restarted = [await start(trial, 0), await start(trial, 1)];
  const options = { seeds: trial.addresses, voters: 3, isFirstStart: false };
  restarted.push(await trial.start(2, { ...options, folderName: "empty" }));
  await sleep(4_000);
  for (const control of restarted) {
    const { role, term, members } = control.getState();
    assert.equal([role, term, members], ["follower", 0, []]);
  }
});

test.run();
