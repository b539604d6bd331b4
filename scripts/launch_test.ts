/** Guards against a process that a reload of the settings ends while it starts. */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { copyFile, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import Module from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { runInThisContext } from "node:vm";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** A bundle that takes until the file exists to load. */
const SLOW_BUNDLE = `
const { existsSync, writeSync } = require("node:fs");
writeSync(1, "loading\\n");
while (!existsSync(process.env.LOADED_FILE));
exports.main = async () => {
  await new Promise((resolve) => setTimeout(resolve, 1));
  writeSync(1, "started\\n");
  process.exit(0);
};
`;

async function readLines(child: ChildProcess): Promise<string[]> {
  const lines: string[] = [];
  if (!child.stdout) return lines;
  for await (const line of createInterface({ input: child.stdout })) {
    lines.push(line);
  }
  return lines;
}

test("SIGHUP while the bundle loads does not end the process", async () => {
  const folder = await mkdtemp(join(tmpdir(), "launch-"));
  try {
    const program = join(folder, "crowlever.cjs");
    const loadedFile = join(folder, "loaded");
    await copyFile("scripts/launch.cjs", program);
    await writeFile(join(folder, "bundle.cjs"), SLOW_BUNDLE);
    const child = spawn(process.execPath, [program, "entry", "127.0.0.1:0"], {
      env: { ...process.env, LOADED_FILE: loadedFile },
      stdio: ["ignore", "pipe", "inherit"],
    });
    const lines = readLines(child);
    const ended = once(child, "exit");
    if (child.stdout) await once(child.stdout, "data");
    child.kill("SIGHUP");
    await writeFile(loadedFile, "");
    const [code, signal] = await ended;
    assert.is(signal, null);
    assert.is(code, 0);
    assert.equal(await lines, ["loading", "started"]);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
});

test("the launcher handles SIGHUP before it loads any module", async () => {
  const source = await readFile("scripts/launch.cjs", "utf8");
  const launch = runInThisContext(Module.wrap(source));
  const before = process.listeners("SIGHUP");
  const getAdded = () =>
    process.listeners("SIGHUP").filter((each) => !before.includes(each));
  const loaded = new Error("a module is loaded");
  const loadModule = () => {
    if (getAdded().length === 1) throw loaded;
    throw new Error("a module is loaded before SIGHUP is handled");
  };
  try {
    assert.throws(
      () => launch({}, loadModule, {}, "launch.cjs", "."),
      (error: unknown) => error === loaded,
    );
  } finally {
    getAdded().forEach((each) => process.off("SIGHUP", each));
  }
});

test.run();
