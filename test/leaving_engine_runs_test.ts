/**
 * A stream ran on three engines where its route allows two. The first one left
 * while it was at work and went on serving, as engines that don't drain first do. Gateways took
 * every engine that is no longer registered for one that has ended, which doesn't count
 * as one that runs a request, and went on elsewhere once more. Evidence: of a recorded
 * request the second engine had left at 25.8 s and worked on it until 30.3 s,
 * when it went on at a third.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { LayerEngine } from "../standins/index.ts";
import {
  addCopies,
  call,
  startServing,
  type TestFleet,
} from "./support/fleet.ts";

/** Engines on which a request may run, by its route. */
const MAX_ATTEMPTS = 2;

/** Events after which each engine cuts its first stream off. */
const CUT_AFTER = 60;

function isRunning({ runs }: LayerEngine): boolean {
  return runs.length > 0;
}

async function leave(fleet: TestFleet, { engineId }: LayerEngine) {
  const [{ control }] = fleet.controls;
  const reply = await control.call({ type: "leave", engineId });
  assert.is(reply.type, "done");
}

test("an engine that left still counts as one that ran a request", async () => {
  const size = { controls: 1, gateways: 1, events: 200 };
  await using fleet = await startServing(size);
  await addCopies(fleet);
  const { engines } = fleet;
  for (const { fault } of engines) fault.resetAfterEvents = CUT_AFTER;
  const answer = call(fleet.gateways[0].address, { path: "/stream/1" });
  await until("one runs it", () => engines.some(isRunning));
  await leave(fleet, engines.find(isRunning) as LayerEngine);
  await answer.catch(() => undefined);
  const ran = engines.filter(isRunning).length;
  assert.is(ran, MAX_ATTEMPTS, `${ran} engines`);
});

test.run();
