/** Guards against a process that ends by a warning that nobody reads. */

import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

const MODULE = fileURLToPath(
  new URL("guard_standard_streams.js", import.meta.url),
);

/** Prints on both streams until their errors have been logged, then exits with 0. */
const PROGRAM = `
import { guardStandardStreams } from ${JSON.stringify(MODULE)};
const failed = new Set();
guardStandardStreams({ log: (_event, { name }) => void failed.add(name) });
setInterval(() => {
  process.emitWarning("nobody reads this");
  console.log("nor this");
  if (failed.size === 2) process.exit(0);
}, 5);
`;

test("a warning to a standard stream whose reader is gone doesn't end the process", async () => {
  const args = ["--input-type=module", "--eval", PROGRAM];
  const child = spawn(process.execPath, args, {
    stdio: ["ignore", "pipe", "pipe"],
  });
  child.stdout.destroy();
  child.stderr.destroy();
  assert.equal(await once(child, "exit"), [0, null]);
});

test.run();
