/**
 * Guards against a gateway that ends a plain call which has run and may be repeated,
 * although its time is not over, and against one that refuses calls while an upstream
 * that it left out accepts connections again.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { call } from "./support/fleet.ts";
import {
  startScriptedFleet,
  THREE_PARTS,
} from "./support/start_scripted_fleet.ts";

const PATHS = { safe: "/safe/1", once: "/once/1" };

const DEADLINE_MS = 10_000;

/** A gateway before one upstream that drops its answers and one that is away. */
async function startFleet(absenceMs: number) {
  const fleet = await startScriptedFleet({
    engines: THREE_PARTS,
    plainCount: 2,
  });
  const [dropping, away] = fleet.plain;
  dropping.fault.dropsAnswers = true;
  away.fault.restartsAfterMs = absenceMs;
  const isBack = away.failAndRestart();
  const send = (path: string) =>
    call(fleet.address, { path, deadlineMs: DEADLINE_MS });
  return { fleet, isBack, send, dropping };
}

for (const absenceMs of [500, 3_000]) {
  test(`a call that has run waits for an upstream that is back after ${absenceMs} ms`, async () => {
    const { fleet, isBack, send, dropping } = await startFleet(absenceMs);
    await using _fleet = fleet;
    const answer = send(PATHS.safe);
    await until("it has run", () => dropping.runs.length === 1);
    await dropping.crash();
    assert.is((await answer).status, 200);
    await isBack;
  });
}

test("a call that must not be repeated and has run is ended at once", async () => {
  const { fleet, isBack, send, dropping } = await startFleet(2_000);
  await using _fleet = fleet;
  assert.is((await send(PATHS.once)).status, 502);
  assert.is(dropping.runs.length, 1);
  await isBack;
});

test("a call that has run on as many upstreams as its route allows is ended at once", async () => {
  const { fleet, isBack, send } = await startFleet(1_000);
  await using _fleet = fleet;
  for (const { fault } of fleet.plain) fault.dropsAnswers = true;
  assert.is((await send(PATHS.safe)).status, 502);
  await isBack;
});

test("a new call is served by an upstream that accepts connections again", async () => {
  const { fleet, isBack, send } = await startFleet(400);
  await using _fleet = fleet;
  const first = send(PATHS.safe);
  await until(
    "both upstreams are left out",
    () =>
      new Set(
        fleet.lines.filter(({ event }) => event === "engineSuspected")
          .map(({ fields }) => fields.engineId),
      ).size === 2,
  );
  await isBack;
  await sleep(200);
  assert.is((await send(PATHS.once)).status, 200);
  assert.is((await first).status, 200);
});

test.run();
