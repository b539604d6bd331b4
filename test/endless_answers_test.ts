/**
 * Guards against an upstream that sends bytes without end: its gateway grew by 2 GB, or
 * stood still for seconds and refused the callers of all services. Gateways, control
 * processes and upstreams are real processes.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EndlessKind } from "./support/endless_answers.ts";
import {
  type EndlessAnswersReport,
  runEndlessAnswers,
} from "./support/run_endless_answers.ts";

/** The platform ends a process that takes more than this, in MB. */
const MAX_MEMORY_MB = 350;

async function play(
  kind: EndlessKind,
  route: string,
): Promise<EndlessAnswersReport> {
  const report = await runEndlessAnswers({ kind, route });
  const { lines: _lines, ...counts } = report;
  const text = JSON.stringify(counts);
  assert.ok(report.met > 0, text);
  assert.is(report.beside.whole, report.beside.asked, text);
  assert.ok(report.peakMemoryMb < MAX_MEMORY_MB, text);
  return report;
}

for (const kind of ["unframedBody", "failure", "tinyChunks"] as const) {
  test(`repeatable calls go elsewhere when an upstream sends without end: ${kind}`, async () => {
    const { own } = await play(kind, "safe");
    assert.is(own.whole, own.asked, JSON.stringify(own));
  });
}

test("calls that run once fail at once when an upstream sends a body without end", async () => {
  const { own, met } = await play("chunkedBody", "once");
  const { 502: broken = 0, ...others } = own.failed;
  assert.equal(others, {}, JSON.stringify(own));
  assert.ok(broken <= met, JSON.stringify(own));
});

for (const kind of ["comments", "unnumberedEvents"] as const) {
  test(`streams are whole when an upstream sends without end: ${kind}`, async () => {
    const { own } = await play(kind, "feed");
    assert.is(own.whole, own.asked, JSON.stringify(own));
  });
}

test.run();
