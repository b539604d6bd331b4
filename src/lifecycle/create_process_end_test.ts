/** Guards against a process that ends without a logged reason. */

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LogFields } from "../logs/index.ts";
import { createMetrics, createScrapedMetrics } from "../metrics/index.ts";
import { createProcessEnd } from "./create_process_end.ts";
import { openStartRecord } from "./open_start_record.ts";

function startTrial() {
  const done: string[] = [];
  const processEnd = createProcessEnd({
    log: (event) => void done.push(event),
    flushLog: () => void done.push("flushed"),
    exit: (code) => void done.push(`exit ${code}`),
  });
  return { done, processEnd };
}

test("the reason of an end is logged and flushed before the exit", () => {
  const failed = startTrial();
  failed.processEnd.fail("failed", new Error("broken"));
  assert.equal(failed.done, ["failed", "flushed", "exit 4"]);
  const unstarted = startTrial();
  unstarted.processEnd.fail("startFailed", undefined);
  assert.equal(unstarted.done, ["startFailed", "flushed", "exit 3"]);
  const stopped = startTrial();
  stopped.processEnd.stop();
  assert.equal(stopped.done, ["stopped", "flushed", "exit 0"]);
});

test("a log that can't be written doesn't change how a process ends", () => {
  const end = (writeLine: (line: string) => void) => {
    const codes: number[] = [];
    const processEnd = createProcessEnd({
      log: () => {},
      flushLog() {
        throw new Error("write EPIPE");
      },
      writeLine,
      exit: (code) => void codes.push(code),
    });
    processEnd.stop();
    return codes;
  };
  const lines: string[] = [];
  assert.equal(end((line) => lines.push(line)), [0]);
  assert.is(lines.length, 1);
  assert.match(lines[0], /"stopped".*write EPIPE/);
  const codes = end(() => {
    throw new Error("write EPIPE");
  });
  assert.equal(codes, [0]);
});

test("each start on a data folder names how the previous process ended", async () => {
  const folder = await mkdtemp(join(tmpdir(), "starts-"));
  try {
    const logged: LogFields[] = [];
    const metrics = createScrapedMetrics();
    const open = () =>
      openStartRecord({
        folder,
        program: "control",
        log: (_event, fields = {}) => void logged.push(fields),
        metrics,
      });
    open();
    open().writeEnd({ reason: "failed", detail: "broken" });
    open().writeEnd({ reason: "stopped", detail: "" });
    open();
    assert.equal(logged.map((fields) => fields.previousEnd), [
      undefined,
      undefined,
      { reason: "failed", detail: "broken" },
      { reason: "stopped", detail: "" },
    ]);
    const text = await metrics.format();
    assert.match(text, /process_starts_after_stop 1/);
    assert.match(text, /process_starts_after_failure 1/);
    assert.match(text, /process_starts_after_unrecorded_end 1/);
  } finally {
    await rm(folder, { recursive: true });
  }
});

test("a data folder that can't be written doesn't keep a program from starting", () => {
  const logged: string[] = [];
  const record = openStartRecord({
    folder: join(tmpdir(), "absent", "folder"),
    program: "entry",
    log: (event) => void logged.push(event),
    metrics: createMetrics(),
  });
  assert.equal(logged, ["startCounted"]);
  record.writeStart();
  assert.equal(logged, ["startCounted", "endNotRecorded"]);
});

test.run();
