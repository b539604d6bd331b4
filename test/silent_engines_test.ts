/**
 * Guards against a gateway that ends runs because their engines are silent: streams
 * that had run on two silent engines were closed, and both engines went on a second
 * later.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { LayerEngine } from "../standins/index.ts";
import { call } from "./support/fleet.ts";
import {
  assertWhole,
  type ScriptedFleet,
  startRunningStreams,
  startScriptedFleet,
} from "./support/start_scripted_fleet.ts";

const EVENTS = 80;

const EVENT_INTERVAL_MS = 20;

const STREAMS = 6;

const DEADLINE_MS = 50_000;

const PAUSE_MS = 1_200;

/** Engines that a route allows. */
const MAX_ATTEMPTS = 2;

/** Engines that can start a stream. */
const FIRST_ENGINES = 4;

const ENGINES = [
  ...Array.from(
    { length: FIRST_ENGINES },
    () => ({ fromLayer: 0, toLayer: 4 }),
  ),
  ...Array.from({ length: 2 }, () => ({ fromLayer: 4, toLayer: 8 })),
];

function startFleet(
  options: { readonly graceMs?: number; readonly extraRetries?: number } = {},
) {
  return startScriptedFleet({
    engines: ENGINES,
    events: EVENTS,
    eventIntervalMs: EVENT_INTERVAL_MS,
    ...options,
  });
}

/** Starts streams that all run on the first engine. */
async function startStreams(fleet: ScriptedFleet) {
  const others = listFirstEngines(fleet).slice(1);
  tellGone(fleet, others);
  const answers = await startRunningStreams(fleet, {
    count: STREAMS,
    start: () =>
      call(fleet.address, { path: "/stream/1", deadlineMs: DEADLINE_MS })
        .catch((error) => ({ status: 0, text: String(error) })),
  });
  await sleep(5 * EVENT_INTERVAL_MS);
  fleet.tell({
    type: "engines",
    isWhole: false,
    engines: others.map((_engine, at) => fleet.makeRecord(at + 1)),
    gone: [],
  });
  return answers;
}

function listFirstEngines({ engines }: ScriptedFleet): readonly LayerEngine[] {
  return engines.slice(0, FIRST_ENGINES);
}

function tellGone(fleet: ScriptedFleet, engines: readonly LayerEngine[]) {
  fleet.tell({
    type: "engines",
    isWhole: false,
    engines: [],
    gone: engines.map(({ engineId }) => engineId),
  });
}

function setPaused(engines: readonly LayerEngine[], isPaused: boolean): void {
  for (const { fault } of engines) fault.isPaused = isPaused;
}

async function pause(engines: readonly LayerEngine[]): Promise<void> {
  setPaused(engines, true);
  await sleep(PAUSE_MS);
  setPaused(engines, false);
}

function countLines({ lines }: ScriptedFleet, event: string): number {
  return lines.filter((line) => line.event === event).length;
}

/** Checks on how many engines each stream ran. */
function assertAllowed({ engines }: ScriptedFleet): void {
  const ids = engines.flatMap(({ runs }) => [
    ...new Set(runs.map(({ requestId }) => requestId)),
  ]);
  for (const id of ids) {
    const count = ids.filter((one) => one === id).length;
    assert.ok(count <= MAX_ATTEMPTS, `${id} ran on ${count} engines`);
  }
}

test("streams are whole after all engines were silent twice", async () => {
  await using fleet = await startFleet();
  const answers = await startStreams(fleet);
  await pause(fleet.engines);
  await sleep(10 * EVENT_INTERVAL_MS);
  await pause(fleet.engines);
  await assertWhole(fleet, answers, { events: EVENTS });
  assertAllowed(fleet);
});

test("streams are whole after engines were silent and others found them lost", async () => {
  await using fleet = await startFleet();
  const answers = await startStreams(fleet);
  const engineIds = fleet.engines.map(({ engineId }) => engineId);
  const paused = pause(fleet.engines);
  for (let at = 0; at < 5; at++) {
    await sleep(PAUSE_MS / 6);
    fleet.tell({ type: "lost", engineIds });
  }
  await paused;
  await assertWhole(fleet, answers, { events: EVENTS });
  assertAllowed(fleet);
});

test("streams are whole after the leader removed engines that were only silent", async () => {
  await using fleet = await startFleet();
  const answers = await startStreams(fleet);
  const paused = pause(fleet.engines);
  await sleep(PAUSE_MS / 3);
  tellGone(fleet, fleet.engines);
  await paused;
  await assertWhole(fleet, answers, { events: EVENTS });
  assertAllowed(fleet);
});

test("streams over silent engines are whole beside changes of the configuration, at a gateway that leaves", async () => {
  await using fleet = await startFleet({ graceMs: 40_000 });
  const answers = await startStreams(fleet);
  const paused = pause(fleet.engines);
  for (let version = 2; version < 5; version++) {
    fleet.changeConfig(version);
    await sleep(PAUSE_MS / 6);
  }
  const stopped = fleet.gateway.stop();
  await paused;
  await assertWhole(fleet, answers, { events: EVENTS });
  await stopped;
});

test("streams over silent engines are whole where no retry is lent", async () => {
  await using fleet = await startFleet({ extraRetries: 0 });
  const answers = await startStreams(fleet);
  await pause(fleet.engines);
  await assertWhole(fleet, answers, { events: EVENTS });
  assert.is(countLines(fleet, "callBroken"), 0);
});

test("streams leave an engine that stays silent, and its runs are ended once others go on", async () => {
  await using fleet = await startFleet();
  const answers = await startStreams(fleet);
  const [silent] = fleet.engines;
  setPaused([silent], true);
  await until(
    "the runs on the silent engine are cut",
    () => silent.runs.every(({ wasCut }) => wasCut),
  );
  assert.is(countLines(fleet, "callEnded"), 0);
  await assertWhole(fleet, answers, { events: EVENTS });
  assert.is(countLines(fleet, "runWentOn"), 0);
  assertAllowed(fleet);
});

test("streams on as many silent engines as their route allows go on elsewhere once one has ended", async () => {
  await using fleet = await startFleet();
  const answers = await startStreams(fleet);
  const [first, second, ...others] = listFirstEngines(fleet);
  tellGone(fleet, others);
  setPaused([first, second], true);
  await until(
    "the streams are sent to the second engine, and it is silent, too",
    () => countLines(fleet, "runStranded") >= 2 * STREAMS,
  );
  const { layers: _, ...successor } = {
    ...fleet.makeRecord(0),
    engineId: "successor",
    service: "plain",
  };
  fleet.tell({
    type: "engines",
    isWhole: false,
    engines: [fleet.makeRecord(2), successor],
    gone: [first.engineId],
  });
  await assertWhole(fleet, answers, { events: EVENTS });
});

test.run();
