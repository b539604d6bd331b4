import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CrashReport } from "../quarantine/index.ts";
import type { UpstreamLiveness } from "../http/index.ts";
import { createAbandonedRuns } from "./create_abandoned_runs.ts";
import {
  arePartsProved,
  detectUpstreamCrash,
  isProved,
} from "./detect_upstream_crash.ts";
import type { Call, ServingContext } from "./types.ts";

const UPSTREAM = { engineId: "e1", address: "10.0.0.1:80" };
const CALL = {
  request: { requestId: "1" },
  requestKey: "r",
  partKeys: ["part:a1"],
} as unknown as Call;

/** A part counts only with what was known of it when the run was sent. */
const PART_REPORT = { requestKey: "part:a1", engineId: "e0", knownCrashes: 1 };

function makeContext(liveness: UpstreamLiveness) {
  const state = { nowMs: 1_000, checks: 0, suspicions: 0 };
  const reports: CrashReport[] = [];
  const now = () => state.nowMs;
  const abandonedRuns = createAbandonedRuns({ now });
  const context = {
    now,
    abandonedRuns,
    livenessCheck: {
      check() {
        state.checks += 1;
        return Promise.resolve(liveness);
      },
    },
    quarantine: {
      noteCrash: (report: CrashReport) => void reports.push(report),
      waitUntilReported: () => Promise.resolve(),
    },
    suspectedEnds: { note: () => void (state.suspicions += 1) },
    metrics: { count: () => {} },
  } as unknown as ServingContext;
  const detect = (firstEventMs?: number) =>
    detectUpstreamCrash(CALL, context, {
      upstream: UPSTREAM,
      sentMs: 900,
      firstEventMs,
      crashReports: [{ requestKey: "r", engineId: "e0" }, PART_REPORT],
    });
  return { state, reports, abandonedRuns, detect };
}

test("a crash counts only if it is certain and the run had just begun", async () => {
  const ended = makeContext("ended");
  assert.ok(await ended.detect());
  assert.ok(await ended.detect(900));
  assert.not.ok(await ended.detect(700));
  const [ofRequest, ofPart] = ended.reports;
  assert.equal(ofRequest, { requestKey: "r", engineId: "e1" });
  assert.equal(ofPart, { ...PART_REPORT, engineId: "e1" });
  assert.equal(ended.reports.length, 4);
  assert.is(ended.state.suspicions, 2);
  assert.is(ended.state.checks, 2, "the third run needs no check");
  for (const liveness of ["listening", "unknown"] as const) {
    const other = makeContext(liveness);
    assert.not.ok(await other.detect());
    assert.equal(other.reports, []);
    assert.is(other.state.suspicions, 0);
  }
});

test("a run proves its request harmless after enough time with events", () => {
  assert.not.ok(isProved({ firstEventMs: undefined }, 9_000));
  assert.not.ok(isProved({ firstEventMs: 1_000 }, 1_499));
  assert.ok(isProved({ firstEventMs: 1_000 }, 1_500));
});

test("a run proves its parts harmless once a crash would not count against it", () => {
  assert.not.ok(arePartsProved({ firstEventMs: undefined }, 9_000));
  assert.not.ok(arePartsProved({ firstEventMs: 1_000 }, 1_249));
  assert.ok(arePartsProved({ firstEventMs: 1_000 }, 1_250));
});

test("a request whose caller disconnected shortly before is reported too", async () => {
  const { state, reports, abandonedRuns, detect } = makeContext("ended");
  abandonedRuns.note({ requestKey: "old", engineId: "e1" });
  state.nowMs = 1_600;
  abandonedRuns.note({ requestKey: "left", engineId: "e1" });
  abandonedRuns.note({ requestKey: "elsewhere", engineId: "e2" });
  await detect(100);
  assert.equal(reports, [{ requestKey: "left", engineId: "e1" }]);
});

test.run();
