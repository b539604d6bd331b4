import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UpstreamPresence } from "./create_end_check.ts";
import { createRunRecord } from "./create_run_record.ts";

function startRecord(presences: Readonly<Record<string, UpstreamPresence>>) {
  const ended = new Set<string>();
  const record = createRunRecord({
    maxAttempts: 2,
    engines: {
      get: () => undefined,
      hasEnded: (engineId) => ended.has(engineId),
      noteEnded: (engineId) => void ended.add(engineId),
    },
    endCheck: {
      check: ({ engineId }) => Promise.resolve(presences[engineId]),
    },
  });
  for (const engineId of Object.keys(presences)) {
    record.note({ engineId, address: `${engineId}:80` });
  }
  return record;
}

test("an upstream that has ended doesn't count, once that is found out", async () => {
  const record = startRecord({ e1: "ended", e2: "listening" });
  assert.not(record.mayRunElsewhere());
  await record.checkEnds();
  assert.ok(record.mayRunElsewhere());
});

test("upstreams that are there, or say nothing, count", async () => {
  const record = startRecord({ e1: "unknown", e2: "listening" });
  await record.checkEnds();
  assert.not(record.mayRunElsewhere());
});

test.run();
