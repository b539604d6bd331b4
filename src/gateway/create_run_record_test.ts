import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UpstreamLiveness } from "./create_liveness_check.ts";
import { createRunRecord } from "./create_run_record.ts";

function makeRecord(liveness: Readonly<Record<string, UpstreamLiveness>>) {
  const ended = new Set<string>();
  const record = createRunRecord({
    maxAttempts: 2,
    engines: {
      get: () => undefined,
      hasEnded: (engineId) => ended.has(engineId),
      noteEnded: (engineId) => void ended.add(engineId),
    },
    livenessCheck: {
      check: ({ engineId }) => Promise.resolve(liveness[engineId]),
    },
  });
  for (const engineId of Object.keys(liveness)) {
    record.note({ engineId, address: `${engineId}:80` });
  }
  return record;
}

test("an upstream that crashed no longer counts once a check has found it", async () => {
  const record = makeRecord({ e1: "ended", e2: "listening" });
  assert.not(record.mayRunElsewhere());
  await record.detectCrashes();
  assert.ok(record.mayRunElsewhere());
});

test("upstreams that are alive or unresponsive count", async () => {
  const record = makeRecord({ e1: "unknown", e2: "listening" });
  await record.detectCrashes();
  assert.not(record.mayRunElsewhere());
});

test.run();
