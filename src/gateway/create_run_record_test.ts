import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UpstreamLiveness } from "../http/index.ts";
import { createRunRecord } from "./create_run_record.ts";

function makeRecord(
  liveness: Readonly<Record<string, UpstreamLiveness>>,
  options: {
    readonly removedIds?: readonly string[];
    readonly replacedIds?: readonly string[];
  } = {},
) {
  const ended = new Set<string>();
  const removed = new Set(options.removedIds);
  const replaced = new Set(options.replacedIds);
  const record = createRunRecord({
    maxAttempts: 2,
    engines: {
      get: () => undefined,
      hasEnded: (engineId) => ended.has(engineId) || removed.has(engineId),
      isKnownEnded: (engineId) => ended.has(engineId),
      isAddressTaken: ({ engineId }) => replaced.has(engineId),
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

test("an upstream that the leader removed counts while its process is only suspended", async () => {
  const liveness = { e1: "listening", e2: "listening" } as const;
  const record = makeRecord(liveness, { removedIds: ["e1"] });
  assert.not(record.mayRunElsewhere());
  await record.detectCrashes();
  assert.not(record.mayRunElsewhere());
});

test("an upstream that the leader removed doesn't count if its machine is dark", async () => {
  const liveness = { e1: "unknown", e2: "listening" } as const;
  const record = makeRecord(liveness, { removedIds: ["e1"] });
  await record.detectCrashes();
  assert.ok(record.mayRunElsewhere());
});

test("an upstream that the leader removed doesn't count if another one has its address", async () => {
  const liveness = { e1: "listening", e2: "listening" } as const;
  const removal = { removedIds: ["e1"], replacedIds: ["e1"] };
  const record = makeRecord(liveness, removal);
  await record.detectCrashes();
  assert.ok(record.mayRunElsewhere());
});

test("an upstream that ended a run itself doesn't count once the leader removed it", () => {
  const liveness = { e1: "listening", e2: "listening" } as const;
  const record = makeRecord(liveness, { removedIds: ["e1"] });
  record.noteBroken({ engineId: "e1", address: "e1:80" });
  assert.ok(record.mayRunElsewhere());
});

test("a call may run again on upstreams that have not ended its run themselves", () => {
  const record = makeRecord({ e1: "listening", e2: "listening" });
  record.noteBroken({ engineId: "e1", address: "e1:80" });
  assert.equal(record.listReusable(), ["e2"]);
});

test.run();
