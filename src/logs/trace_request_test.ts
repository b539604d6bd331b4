import { test } from "uvu";
import * as assert from "uvu/assert";
import { createLogger } from "./create_logger.ts";
import { traceRequest } from "./trace_request.ts";

function writeLines() {
  const lines: string[] = [];
  let nowMs = 1_000_000;
  const log = createLogger({
    program: "crowlever-entry",
    format: "json",
    write: (line) => void lines.push(line),
    now: () => nowMs,
  });
  log("engineSuspected", { engineId: "e9", reason: "long before" });
  nowMs += 60_000;
  log("callSent", { requestId: "r1", engineId: "e1", path: "e1:4,e2:8" });
  log("callSent", { requestId: "r2", engineId: "e3", path: "e3:8" });
  nowMs += 100;
  log("callEnded", { requestId: "r1", outcome: "answered" });
  nowMs -= 40;
  log("engineSuspected", { engineId: "e2", reason: "refuses connections" });
  log("engineSuspected", { engineId: "e3", reason: "refuses connections" });
  return lines;
}

test("a request's lines are in chronological order, with the lines on its upstreams", () => {
  const [earlier, ...recent] = writeLines();
  const traced = traceRequest(
    [earlier, "no JSON", ...recent.map((line) => `36.05 vm-1 ${line}`), "{cut"],
    { requestId: "r1" },
  );
  assert.equal(traced.map(({ text }) => text), [
    "Request was sent to an upstream",
    "Upstream is left out for a while",
    "Request ended",
  ]);
  assert.equal(new Set(traced.map(({ source }) => source)).size, 1);
  assert.is(traced[0].source, "36.05 vm-1");
  assert.is(traced[1].fields.engineId, "e2");
});

test("an unknown request has no lines", () => {
  assert.equal(traceRequest(writeLines(), { requestId: "r3" }), []);
});

test.run();
