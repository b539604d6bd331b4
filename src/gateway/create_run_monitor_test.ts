import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRunMonitor, type MonitoredRun } from "./create_run_monitor.ts";
import {
  groupRuns,
  SHARED_SILENCE_MS,
  SINGLE_SILENCE_MS,
} from "./group_runs.ts";
import type { EngineLiveness } from "./protocol.ts";

interface FakeRun extends MonitoredRun {
  readonly left: string[];
  silenceMs: number;
}

function makeRun(engineIds: readonly string[], silenceMs: number): FakeRun {
  const path = engineIds.map((engineId, at) => ({
    engineId,
    address: engineId,
    fromLayer: at,
    toLayer: at + 1,
  }));
  const run: FakeRun = {
    left: [],
    isLayered: true,
    silenceMs,
    getPath: () => path,
    hasBegun: () => true,
    getSilenceMs: () => run.silenceMs,
    getUsualPauseMs: () => 20,
    checkStall: () => {},
    checkLeaving: () => {},
    leave: (engineId) => void run.left.push(engineId),
  };
  return run;
}

const PRESENT: EngineLiveness = { state: "present", pace: 1 };

function startTestWatch(
  presence: Readonly<Record<string, EngineLiveness>>,
  options: {
    readonly getProbeRank?: () => number;
    readonly mayProbe?: (engineId: string) => boolean;
  } = {},
) {
  const asked: string[] = [];
  const lost: string[] = [];
  const paces = new Map<string, number>();
  const watch = createRunMonitor({
    engineControl: {
      checkLiveness(address) {
        asked.push(address);
        return Promise.resolve(presence[address] ?? PRESENT);
      },
    },
    onPace: (engineId, pace) => void paces.set(engineId, pace),
    onEngineFailed: (engineId) => void lost.push(engineId),
    ...options,
    now: () => performance.now(),
  });
  return { watch, asked, lost, paces };
}

async function waitForProbe(asked: readonly string[]): Promise<void> {
  while (asked.length === 0) await sleep(5);
  await sleep(5);
}

test("a group's silence starts at its newest event; several runs have a lower limit", () => {
  const one = {
    firstEngineId: "a",
    hasBegun: true,
    silenceMs: 90,
    usualPauseMs: 30,
  };
  const [group] = groupRuns([one, { ...one, silenceMs: 70 }]);
  assert.is(group.silenceMs, 70);
  assert.is(group.limitMs, SHARED_SILENCE_MS);
  assert.is(groupRuns([one])[0].limitMs, SINGLE_SILENCE_MS);
  const fresh = { ...one, hasBegun: false };
  assert.is(groupRuns([one, fresh])[0].limitMs, SINGLE_SILENCE_MS);
});

test("runs leave an engine that refuses connections; runs on other engines stay", async () => {
  const { watch, asked, lost } = startTestWatch({ b: { state: "absent" } });
  const affected = [makeRun(["a", "b"], 200), makeRun(["a", "b"], 200)];
  const unaffected = makeRun(["c", "d"], 5);
  const removals = [...affected, unaffected].map(watch.add);
  await waitForProbe(asked);
  assert.equal(lost, ["b"]);
  assert.equal(affected.map(({ left }) => left), [["b"], ["b"]]);
  assert.equal(unaffected.left, []);
  assert.not.ok(asked.includes("c"));
  removals.forEach((remove) => remove());
});

test("an engine that may not be probed is neither probed nor counted as failed", async () => {
  const { watch, asked, lost } = startTestWatch({
    a: { state: "silent" },
    b: { state: "silent" },
  }, { mayProbe: (engineId) => engineId !== "a" });
  const remove = watch.add(makeRun(["a", "b"], 200));
  watch.checkEngine({ engineId: "a", address: "a" });
  await waitForProbe(asked);
  // Its silence is confirmed by a second probe.
  assert.equal(asked, ["b", "b"]);
  assert.not.ok(lost.includes("a"));
  remove();
});

test("the slowdown factor in the answer to a probe is reported", async () => {
  const { watch, asked, paces } = startTestWatch({
    a: { state: "present", pace: 6 },
  });
  const remove = watch.add(makeRun(["a", "b"], SINGLE_SILENCE_MS + 5));
  await waitForProbe(asked);
  assert.is(paces.get("a"), 6);
  assert.is(paces.get("b"), 1);
  remove();
});

test("runs leave an unresponsive engine only while they are silent", async () => {
  const { watch, asked, lost } = startTestWatch({ b: { state: "silent" } });
  const run = makeRun(["a", "b"], 200);
  const remove = watch.add(run);
  await waitForProbe(asked);
  assert.equal(lost, ["b"]);
  remove();

  const other = startTestWatch({ b: { state: "silent" } });
  const active = makeRun(["a", "b"], 5);
  const removeActive = other.watch.add(active);
  await sleep(150);
  assert.equal(other.asked, []);
  assert.equal(active.left, []);
  removeActive();
});

test("an unresponsive engine named as faulty has failed, but runs stay while they get events", async () => {
  const { watch, asked, lost } = startTestWatch({ b: { state: "silent" } });
  const active = makeRun(["a", "b"], 5);
  const remove = watch.add(active);
  watch.checkEngine(active.getPath()[1]);
  await waitForProbe(asked);
  assert.equal(lost, ["b"]);
  await sleep(150);
  assert.equal(active.left, []);
  active.silenceMs = SINGLE_SILENCE_MS + 5;
  while (active.left.length === 0) await sleep(5);
  // Neither it nor the other engine is probed again.
  assert.equal(asked, ["b"]);
  remove();
});

test("an engine named as faulty that answers a probe has not failed", async () => {
  const { watch, asked, lost } = startTestWatch({});
  watch.checkEngine({ engineId: "b", address: "b" });
  await waitForProbe(asked);
  assert.equal(lost, []);
});

test("a silent run whose engines answer probes checks itself for a stall", async () => {
  const { watch, asked, lost } = startTestWatch({});
  let stallChecks = 0;
  const run = {
    ...makeRun(["a", "b"], 400),
    checkStall: () => void stallChecks++,
  };
  const remove = watch.add(run);
  await waitForProbe(asked);
  assert.ok(stallChecks > 0);
  assert.equal(lost, []);
  remove();
});

test("a silent run on a single engine checks itself, without a probe", async () => {
  const { watch, asked } = startTestWatch({});
  let stallChecks = 0;
  const remove = watch.add({
    ...makeRun(["a"], 400),
    isLayered: false,
    checkStall: () => void stallChecks++,
  });
  while (stallChecks === 0) await sleep(5);
  assert.equal(asked, []);
  remove();
});

test("probes become rarer while no engine is found failed", async () => {
  const { watch, asked } = startTestWatch({});
  const run = makeRun(["a"], 100);
  const removals = [watch.add(run), watch.add(makeRun(["a"], 100))];
  await waitForProbe(asked);
  // Longer than the time for which an engine is not probed again.
  await sleep(400);
  assert.is(asked.length, 1);
  removals.forEach((remove) => remove());
});

test("a gateway with a later probe rank probes only after a delay", async () => {
  const silenceMs = SINGLE_SILENCE_MS + 20;
  const delayed = startTestWatch({}, { getProbeRank: () => 7 });
  const run = makeRun(["a"], silenceMs);
  const remove = delayed.watch.add(run);
  await sleep(150);
  assert.equal(delayed.asked, []);
  run.silenceMs = SINGLE_SILENCE_MS + 81;
  await waitForProbe(delayed.asked);
  remove();
});

test("engines of other runs that receive events are not probed", async () => {
  const { watch, asked } = startTestWatch({});
  const silent = makeRun(["a", "b", "c"], SINGLE_SILENCE_MS + 5);
  const unaffected = makeRun(["d", "b"], 5);
  const removals = [silent, unaffected].map(watch.add);
  await waitForProbe(asked);
  assert.equal([...asked].sort(), ["a", "c"]);
  removals.forEach((remove) => remove());
});

test("silent runs leave engines that other gateways found failed, without a probe", async () => {
  const { watch, asked } = startTestWatch({}, { getProbeRank: () => 30 });
  const silent = makeRun(["a", "b"], SINGLE_SILENCE_MS + 5);
  const unaffected = makeRun(["c", "b"], 5);
  const removals = [silent, unaffected].map(watch.add);
  watch.handleFailureReport(["b"]);
  assert.equal(silent.left, ["b"]);
  assert.equal(unaffected.left, []);
  // The other run falls silent a little later.
  unaffected.silenceMs = SINGLE_SILENCE_MS + 5;
  while (unaffected.left.length === 0) await sleep(5);
  await sleep(150);
  assert.equal([silent.left, unaffected.left], [["b"], ["b"]]);
  assert.equal(asked, []);
  removals.forEach((remove) => remove());
});

test.run();
