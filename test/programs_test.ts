import { test } from "uvu";
import * as assert from "uvu/assert";
import { mkdtemp, readdir, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { launchFleet, OPERATOR_TOKEN } from "../demo/launch_fleet.ts";
import { getTrialResources } from "../demo/trial_resources.ts";
import { runProgram as run } from "./support/run_program.ts";

test("invalid settings make a program exit with 2 and list all errors", async () => {
  const folder = await mkdtemp(join(tmpdir(), "crowlever-"));
  const file = join(folder, "entry.jsonc");
  await writeFile(file, '{ "vm": 7, "listen": { "port": -1 } }');
  const checked = await run("crowlever_entry", ["--settings", file, "--check"]);
  assert.is(checked.code, 2);
  assert.match(checked.output, /vm: found 7/);
  assert.match(checked.output, /listen\.port: found -1/);
  const started = await run("crowlever_control", ["--settings", file]);
  assert.is(started.code, 2);
  const unknown = await run("crowlever_entry", ["--nothing"]);
  assert.is(unknown.code, 2);
  await rm(folder, { recursive: true });
});

test("the examples are valid", async () => {
  for (const name of await readdir("examples")) {
    if (!name.endsWith(".jsonc")) continue;
    const as = name.includes("entry")
      ? "entry"
      : name.includes("control")
      ? "control"
      : "resources";
    const checked = await run("crowlever", [
      "check",
      `examples/${name}`,
      "--as",
      as,
    ]);
    assert.is(checked.code, 0, checked.output);
  }
});

test("the command line applies, lists, watches, drains, explains and reports conflicts", async () => {
  await using fleet = await launchFleet({ controls: 1, entries: 1 });
  const file = join(fleet.folder, "fleet.jsonc");
  const resources = getTrialResources({
    stages: [["http://127.0.0.1:1"], ["http://127.0.0.1:2"]],
    plain: ["http://127.0.0.1:3"],
  });
  await writeFile(file, JSON.stringify(resources));
  const base = [
    "--control",
    fleet.controls[0].address,
    "--token",
    OPERATOR_TOKEN,
  ];
  const crowlever = (...args: string[]) => run("crowlever", [...args, ...base]);

  const applied = await crowlever("apply", "-f", file);
  assert.is(applied.code, 0, applied.output);
  assert.match(applied.output, /drafting +created/);
  assert.match((await crowlever("apply", "-f", file)).output, /unchanged/);
  const listed = await crowlever("get", "service", "-o", "name");
  assert.is(listed.output, "service/dashboard\nservice/drafting\n");
  const one = await crowlever("get", "pool/engines", "-o", "json");
  assert.is(JSON.parse(one.output).spec.upstreams.length, 2);
  assert.match((await crowlever("status")).output, /Leader control-1/);
  assert.match((await crowlever("entries")).output, /entry-1/);

  const drained = await crowlever("drain", "engine-1-1");
  assert.is(drained.code, 0, drained.output);
  const explained = await crowlever("explain", "pool/engines");
  assert.match(explained.output, /An operator drains it/);
  const conflicting = await crowlever(
    "delete",
    "clientAccount/dock",
    "--revision",
    "1",
  );
  assert.is(conflicting.code, 3);
  assert.match(conflicting.output, /differs|conflict/);
  const watched = await crowlever("watch", "--since", "0", "--count", "3");
  assert.match(watched.output, /^1 model\/drafting-model changed\n2 /);
  const unauthorized = await run("crowlever", [
    "get",
    "service",
    "--control",
    fleet.controls[0].address,
    "--token",
    "wrong",
  ]);
  assert.is(unauthorized.code, 1);
  assert.is((await crowlever("get", "nonsense")).code, 1);
  assert.is((await crowlever("explain", "nonsense")).code, 2);
});

test("a data folder in use is rejected, and --inspect prints its contents", async () => {
  await using fleet = await launchFleet({ controls: 1, entries: 0 });
  const [control] = fleet.controls;
  const settings = join(fleet.folder, "control-1.jsonc");
  const second = await run("crowlever_control", ["--settings", settings]);
  assert.is(second.code, 3);
  assert.match(second.output, /in use by another process/);
  control.kill("SIGKILL");
  await control.ended();
  const inspected = await run("crowlever_control", [
    "--settings",
    settings,
    "--inspect",
  ]);
  assert.is(inspected.code, 0, inspected.output);
  assert.match(inspected.output, /identity .*control-1/);
  assert.match(inspected.output, /entry 1 term 1 noop/);
});

test.run();
