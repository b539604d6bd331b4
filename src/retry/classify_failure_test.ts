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
    "reset before the first byte",
    { phase: "sent", fault: "reset" },
    "unknown",
    false,
  ],
  ["half-sent body", { phase: "sent", fault: "reset" }, "unknown", false],
  ["no answer in time", { phase: "sent", fault: "timeout" }, "unknown", false],
  [
    "reset within the answer",
    { phase: "answering", fault: "reset" },
    "unknown",
    false,
  ],
  [
    "silence within the answer",
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
    "upstream's own refusal",
    {
      phase: "answering",
      fault: "upstream_said",
      status: 503,
      saidNotRun: true,
    },
    "not_run",
    true,
  ],
];

for (const [name, failure, outcome, safeToRetry] of ROWS) {
  test(`a ${name} is ${outcome}`, () => {
    const verdict = classifyFailure(failure);
    assert.is(verdict.outcome, outcome);
    assert.is(verdict.safeToRetry, safeToRetry);
  });
}

test.run();
