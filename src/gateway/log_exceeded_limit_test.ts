import { test } from "uvu";
import * as assert from "uvu/assert";
import { logExceededLimit } from "./log_exceeded_limit.ts";
import type { Call, ServingContext } from "./types.ts";

test("an exceeded limit is logged with its request and upstream, and counted", () => {
  const lines: unknown[] = [];
  const counts: string[] = [];
  logExceededLimit(
    { request: { requestId: "r1" }, service: "s" } as Call,
    {
      log: (...line: unknown[]) => void lines.push(line),
      metrics: { count: (name: string) => void counts.push(name) },
    } as unknown as ServingContext,
    { engineId: "e1", limit: "answerBytes" },
  );
  assert.equal(lines, [
    ["upstreamLimitExceeded", {
      requestId: "r1",
      service: "s",
      engineId: "e1",
      limit: "answerBytes",
    }],
  ]);
  assert.equal(counts, ["upstream.limits_exceeded"]);
});

test.run();
