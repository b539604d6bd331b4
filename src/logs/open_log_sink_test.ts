/** Guards against a log whose lines are lost, or held without a limit. */

import { closeSync, openSync, readFileSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import { openLogSink } from "./open_log_sink.ts";

test("a flush writes what fits into the buffer, and the rest is counted", async () => {
  const folder = await mkdtemp(join(tmpdir(), "log-"));
  const file = join(folder, "log");
  const descriptor = openSync(file, "w");
  const readLines = () =>
    readFileSync(file, "utf8").split("\n").filter((line) => line !== "");
  try {
    const sink = openLogSink({ descriptor, maxBufferBytes: 30, now: () => 0 });
    // Each line takes ten bytes.
    for (let at = 0; at < 5; at++) sink.write(`line ${at}...`);
    sink.flush();
    assert.is(sink.takeDropped(), 2);
    assert.is(sink.takeDropped(), 0);
    // A write that had begun before the flush ends in another thread.
    await until("all are written", () => readLines().length === 3);
    assert.equal(readLines().sort(), ["line 0...", "line 1...", "line 2..."]);
  } finally {
    closeSync(descriptor);
    await rm(folder, { recursive: true });
  }
});

test.run();
