/**
 * Guards against a stream that runs on three engines where its route allows two.
 * Gateways took every engine that is no longer registered for a crashed one, which
 * doesn't count as an attempt. An engine that deregisters without draining keeps
 * serving: in one recorded request it had left at 25.8 s and worked until 30.3 s, when
 * the stream went on at a third engine.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { LayerEngine } from "../standins/index.ts";
import {
  addEnginesPerPlace,
  call,
  startServingFleet,
  type TestFleet,
} from "./support/fleet.ts";

/** Number of engines on which the route lets a request run. */
const MAX_ATTEMPTS = 2;

/** Number of events after which each engine resets its first stream. */
const RESET_AFTER_EVENTS = 60;

function isRunning({ runs }: LayerEngine): boolean {
  return runs.length > 0;
}

async function deregister(fleet: TestFleet, { engineId }: LayerEngine) {
  const [{ control }] = fleet.controls;
  const reply = await control.call({ type: "leave", engineId });
  assert.is(reply.type, "done");
}

test("a run on an engine that deregistered counts as an attempt", async () => {
  const size = { controls: 1, gateways: 1, events: 200 };
  await using fleet = await startServingFleet(size);
  await addEnginesPerPlace(fleet);
  const { engines } = fleet;
  for (const { fault } of engines) fault.resetAfterEvents = RESET_AFTER_EVENTS;
  const answer = call(fleet.gateways[0].address, { path: "/stream/1" });
  await until("one engine runs the stream", () => engines.some(isRunning));
  await deregister(fleet, engines.find(isRunning) as LayerEngine);
  await answer.catch(() => undefined);
  const ran = engines.filter(isRunning).length;
  assert.is(ran, MAX_ATTEMPTS, `${ran} engines`);
});

test.run();
