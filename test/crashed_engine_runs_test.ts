/**
 * Streams whose engines crash while they run them.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { LayerEngine } from "../standins/index.ts";
import {
  addEnginesPerPlace,
  call,
  expectStream,
  startServingFleet,
} from "./support/fleet.ts";

/** Number of events of an answer. */
const EVENT_COUNT = 200;

/** Number of events after which the second engine resets the stream. */
const RESET_AFTER_EVENTS = 40;

/** Number of earlier streams, which fund the retry budget. */
const EARLIER_STREAMS = 30;

const ID_PREFIX = "broken";

function isRunning({ runs }: LayerEngine): boolean {
  return runs.some(({ requestId }) => requestId.startsWith(ID_PREFIX));
}

test("a crashed engine doesn't count against the attempts of a stream, so a third one runs it", async () => {
  const size = { controls: 1, gateways: 1, events: EVENT_COUNT };
  await using fleet = await startServingFleet(size);
  await addEnginesPerPlace(fleet);
  const { engines } = fleet;
  const [{ address }] = fleet.gateways;
  const earlier = Array.from(
    { length: EARLIER_STREAMS },
    () => call(address, { path: "/stream/0" }),
  );
  await Promise.all(earlier);
  for (const { fault } of engines) fault.hangs = true;
  const answer = call(address, { path: "/stream/1", idPrefix: ID_PREFIX });
  await until("one engine runs the stream", () => engines.some(isRunning));
  const first = engines.find(isRunning) as LayerEngine;
  for (const { fault } of engines) {
    fault.hangs = false;
    fault.resetAfterEvents = RESET_AFTER_EVENTS;
  }
  await first.crash();
  await until(
    "two engines have run the stream",
    () => engines.filter(isRunning).length === 2,
  );
  for (const engine of engines) {
    if (!isRunning(engine)) engine.fault.resetAfterEvents = undefined;
  }
  const { text } = await answer;
  assert.is(text, expectStream(EVENT_COUNT));
  assert.is(engines.filter(isRunning).length, 3);
});

test.run();
