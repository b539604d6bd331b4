import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EngineRecord } from "../engines/index.ts";
import { createPaceMonitor } from "./create_pace_monitor.ts";

const ENGINES = 216;

function startMonitor() {
  const clock = { nowMs: 0 };
  const asked: string[] = [];
  const engines: EngineRecord[] = Array.from({ length: ENGINES }, (_, at) => ({
    engineId: `e${at}`,
    service: "model",
    address: `e${at}`,
    place: "a",
    slots: 134,
    isLeaving: false,
  }));
  const watch = createPaceMonitor({
    getEngines: () => engines,
    readPace: (address) => {
      asked.push(address);
      return Promise.resolve(address === "e7" ? 6 : 1);
    },
    onPace: (engineId, pace) => {
      const at = engines.findIndex((engine) => engine.engineId === engineId);
      const slowness = pace > 1 ? pace : undefined;
      engines[at] = { ...engines[at], slowness };
    },
    now: () => clock.nowMs,
  });
  return { watch, clock, asked };
}

test("without slow streams no engine is polled", async () => {
  const { watch, asked } = startMonitor();
  watch.recordSlow([]);
  await watch.tick();
  assert.equal(asked, []);
});

test("of 216 engines only those named in several reports are polled", async () => {
  const { watch, asked } = startMonitor();
  watch.recordSlow(["e3", "e7", "e9"]);
  await watch.tick();
  assert.equal(asked, []);
  watch.recordSlow(["e3", "e7"]);
  await watch.tick();
  assert.equal([...asked].sort(), ["e3", "e7"]);
});

test("if all of 216 engines are reported, the one with the most reports is polled", async () => {
  const { watch, asked } = startMonitor();
  for (let at = 0; at < 200; at++) {
    // Each stream is slow for a reason of its own; one in five runs over the slow engine.
    const path = [0, 1, 2, 3].map((part) => `e${(at * 13 + part * 54) % 216}`);
    watch.recordSlow(at % 5 === 0 ? [...path, "e7"] : path);
  }
  await watch.tick();
  assert.ok(asked.includes("e7"));
  assert.is(asked.length, 16);
});

test("an engine known to be slow is polled until it has recovered", async () => {
  const { watch, clock, asked } = startMonitor();
  watch.recordSlow(["e7"]);
  watch.recordSlow(["e7"]);
  await watch.tick();
  clock.nowMs = 60_000;
  asked.length = 0;
  await watch.tick();
  assert.equal(asked, ["e7"]);
});

test.run();
