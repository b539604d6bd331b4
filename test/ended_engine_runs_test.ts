/**
 * Streams whose engines end under them.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { LayerEngine } from "../standins/index.ts";
import {
  addCopies,
  call,
  expectStream,
  startServing,
} from "./support/fleet.ts";

/** Events of an answer. */
const EVENTS = 200;

/** Events after which the second engine cuts the stream off. */
const CUT_AFTER = 40;

/** Streams before it, whose share pays for its repeats. */
const EARLIER = 30;

const ID_PREFIX = "broken";

function isRunning({ runs }: LayerEngine): boolean {
  return runs.some(({ requestId }) => requestId.startsWith(ID_PREFIX));
}

test("an engine that ended under a stream doesn't keep it from a third one", async () => {
  const size = { controls: 1, gateways: 1, events: EVENTS };
  await using fleet = await startServing(size);
  await addCopies(fleet);
  const { engines } = fleet;
  const [{ address }] = fleet.gateways;
  const earlier = Array.from(
    { length: EARLIER },
    () => call(address, { path: "/stream/0" }),
  );
  await Promise.all(earlier);
  for (const { fault } of engines) fault.hangs = true;
  const answer = call(address, { path: "/stream/1", idPrefix: ID_PREFIX });
  await until("one runs it", () => engines.some(isRunning));
  const first = engines.find(isRunning) as LayerEngine;
  for (const { fault } of engines) {
    fault.hangs = false;
    fault.resetAfterEvents = CUT_AFTER;
  }
  await first.crash();
  await until("two ran it", () => engines.filter(isRunning).length === 2);
  for (const engine of engines) {
    if (!isRunning(engine)) engine.fault.resetAfterEvents = undefined;
  }
  const { text } = await answer;
  assert.is(text, expectStream(EVENTS));
  assert.is(engines.filter(isRunning).length, 3);
});

test.run();
