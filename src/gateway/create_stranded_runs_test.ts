/**
 * Guards against runs that are ended on a doubt, and against streams that stay on
 * engines that have ended.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UpstreamLiveness } from "../http/index.ts";
import { createOpenRuns } from "./create_open_runs.ts";
import { REFUSES_CONNECTIONS } from "./create_run_monitor.ts";
import { createStrandedRuns } from "./create_stranded_runs.ts";
import type { StreamRun } from "./start_stream_run.ts";
import type { Call, ServingContext } from "./types.ts";

const CALL = {
  request: { requestId: "r" },
  service: "s",
  deadlineMs: 10_000,
} as unknown as Call;

const SILENT = { engineId: "e2", reason: "does not answer" };

/** A call with one run over e1 and e2, which is the current one. */
function setUp(options: {
  readonly isSent?: boolean;
  readonly mayRunAgain?: boolean;
  readonly verdict?: string;
  readonly liveness?: UpstreamLiveness;
  readonly isAddressTaken?: boolean;
} = {}) {
  const { isSent = true, liveness = "listening" } = options;
  const registered = new Set(["e1", "e2"]);
  const happened: string[] = [];
  const logged: string[] = [];
  let nowMs = 0;
  let mayRunAgain = options.mayRunAgain ?? true;
  const run = {
    isSent,
    path: ["e1", "e2"].map((engineId) => ({ engineId })),
    leave: (engineId: string) => void happened.push(`left ${engineId}`),
  } as unknown as StreamRun;
  const runs = createOpenRuns<StreamRun>();
  runs.add(run);
  const context = {
    engines: {
      get: (id: string) => registered.has(id) ? {} : undefined,
      isAddressTaken: () => options.isAddressTaken ?? false,
      noteEnded: (id: string) => void happened.push(`ended ${id}`),
      noteWorking: (id: string) => void happened.push(`works ${id}`),
      countLeftOut: () => ({}),
    },
    livenessCheck: { check: () => Promise.resolve(liveness) },
    quarantine: { judge: () => ({ type: options.verdict ?? "free" }) },
    now: () => nowMs,
    log: (event: string) => void logged.push(event),
  } as unknown as ServingContext;
  const stranded = createStrandedRuns(CALL, context, {
    runs,
    runRecord: { detectCrashes: () => Promise.resolve() },
    hasCallEnded: () => false,
    getSilenceMs: () => 100,
    mayRunAgain: () => mayRunAgain,
    onRun: () => {},
    onSetAside: () => void happened.push("set aside"),
    onEngineEnded: (_run, { engineId }) =>
      void happened.push(`lost ${engineId}`),
  });
  return {
    run,
    runs,
    stranded,
    happened,
    logged,
    remove: (id: string) => void registered.delete(id),
    allow: () => void (mayRunAgain = true),
    advance: (ms: number) => void (nowMs += ms),
  };
}

test("a run over a silent engine stays open while another one is looked for", () => {
  const { run, runs, stranded, happened } = setUp();
  stranded.handle(run, SILENT);
  assert.equal(happened, ["set aside"]);
  assert.ok(runs.isOpen(run));
});

test("a run over a silent engine stays where its route allows no other one", () => {
  const { run, runs, stranded, happened, logged } = setUp({
    mayRunAgain: false,
  });
  stranded.handle(run, SILENT);
  stranded.handle(run, SILENT);
  assert.equal(happened, []);
  assert.equal(logged, ["runStranded"]);
  assert.is(runs.getCurrent(), run);
});

test("a run that is suspected of crashing engines stays", () => {
  const { run, stranded, happened } = setUp({ verdict: "trial" });
  stranded.handle(run, SILENT);
  assert.equal(happened, []);
});

test("a run of which nothing was sent is ended", () => {
  const { run, stranded, happened } = setUp({
    isSent: false,
    mayRunAgain: false,
  });
  stranded.handle(run, SILENT);
  assert.equal(happened, ["left e2"]);
});

test("a run leaves an engine that refuses connections if it may run again", () => {
  const refusal = {
    engineId: "e1",
    reason: REFUSES_CONNECTIONS,
    hasEnded: true,
  };
  const allowed = setUp();
  allowed.stranded.handle(allowed.run, refusal);
  assert.equal(allowed.happened, ["ended e1", "left e1"]);
  const denied = setUp({ mayRunAgain: false });
  denied.stranded.handle(denied.run, refusal);
  assert.equal(denied.happened, ["ended e1"]);
});

test("a run at another gateway stays open while another one is looked for", () => {
  const { runs, stranded, happened } = setUp();
  const forwarded = { isSent: true, path: [] } as unknown as StreamRun;
  runs.add(forwarded);
  stranded.handle(forwarded, { engineId: "g2", reason: "peer is silent" });
  assert.equal(happened, ["set aside"]);
  assert.ok(runs.isOpen(forwarded));
});

test("a run that lost an engine behind its first one may start there again", () => {
  const { run, stranded, happened } = setUp({ mayRunAgain: false });
  stranded.handle(run, { ...SILENT, hasEnded: true });
  assert.equal(happened, ["left e2"]);
});

test("a run stays on an engine that the leader removed and that accepts connections", async () => {
  const { run, stranded, happened, remove } = setUp({ mayRunAgain: false });
  stranded.handle(run, SILENT);
  remove("e2");
  await stranded.check();
  assert.equal(happened, []);
});

for (
  const [name, found] of [
    ["whose machine answers nothing", { liveness: "unknown" }],
    ["whose address is another one's", { isAddressTaken: true }],
  ] as const
) {
  test(`a run has lost an engine that the leader removed, ${name}`, async () => {
    const { run, stranded, happened, remove } = setUp({
      mayRunAgain: false,
      ...found,
    });
    stranded.handle(run, SILENT);
    remove("e2");
    await stranded.check();
    assert.equal(happened, ["lost e2"]);
  });
}

test("a run that was set aside is ended once its engine has ended", async () => {
  const { run, stranded, happened, remove } = setUp({ liveness: "unknown" });
  stranded.handle(run, SILENT);
  remove("e2");
  await stranded.check();
  assert.equal(happened, ["set aside", "left e2"]);
});

test("a run that stayed is set aside once the call may run again", async () => {
  const { run, stranded, happened, allow, advance } = setUp({
    mayRunAgain: false,
  });
  stranded.handle(run, SILENT);
  await stranded.check();
  assert.equal(happened, []);
  allow();
  advance(1_000);
  await stranded.check();
  assert.equal(happened, ["set aside"]);
});

test("a stranded run asks its engines what it waits for once a second", () => {
  const { run, stranded, advance } = setUp({ mayRunAgain: false });
  assert.ok(stranded.mayCheckStall(run));
  assert.ok(stranded.mayCheckStall(run));
  stranded.handle(run, SILENT);
  assert.not(stranded.mayCheckStall(run));
  advance(1_000);
  assert.ok(stranded.mayCheckStall(run));
  assert.not(stranded.mayCheckStall(run));
});

test("the engines of a run that goes on are used again", () => {
  const { run, stranded, happened, logged } = setUp();
  stranded.handle(run, SILENT);
  stranded.noteProgress(run);
  stranded.noteProgress(run);
  assert.equal(happened, ["set aside", "works e1", "works e2"]);
  assert.equal(logged, ["runStranded", "runWentOn"]);
});

test.run();
