import { test } from "uvu";
import * as assert from "uvu/assert";
import { classifyFailure } from "./classify_failure.ts";
import type { DispatchFailure, FailureVerdict } from "./types.ts";

type Row = [string, DispatchFailure, FailureVerdict["outcome"], boolean];

const ROWS: readonly Row[] = [
  [
    "refused connection",
    { phase: "connecting", fault: "refused" },
    "not_run",
    true,
  ],
  [
    "connection that timed out",
    { phase: "connecting", fault: "timeout" },
    "not_run",
    true,
  ],
  [
    "reset before the first byte of the response",
    { phase: "sent", fault: "reset" },
    "unknown",
    false,
  ],
  ["partially sent body", { phase: "sent", fault: "reset" }, "unknown", false],
  [
    "timeout while waiting for the response",
    { phase: "sent", fault: "timeout" },
    "unknown",
    false,
  ],
  [
    "reset in the middle of the response",
    { phase: "answering", fault: "reset" },
    "unknown",
    false,
  ],
  [
    "timeout in the middle of the response",
    { phase: "answering", fault: "timeout" },
    "unknown",
    false,
  ],
  [
    "server error",
    { phase: "answering", fault: "upstream_said", status: 500 },
    "failed",
    false,
  ],
  [
    "rejection that the upstream reports as not run",
    {
      phase: "answering",
      fault: "upstream_said",
      status: 503,
      reportedNotRun: true,
    },
    "not_run",
    true,
  ],
];

for (const [name, failure, outcome, safeToRetry] of ROWS) {
  test(`classified as ${outcome}: ${name}`, () => {
    const verdict = classifyFailure(failure);
    assert.is(verdict.outcome, outcome);
    assert.is(verdict.safeToRetry, safeToRetry);
  });
}

test.run();
