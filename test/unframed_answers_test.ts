/**
 * Answers with neither a length nor chunks, which end with their connection: one that
 * was cut off because its upstream crashed must not look complete.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import {
  addEnginesPerPlace,
  call,
  expectStream,
  startServingFleet,
  type TestFleet,
} from "./support/fleet.ts";

/** Number of events of an answer. */
const EVENT_COUNT = 60;

/** Number of events after which a stream is cut. */
const EVENTS_BEFORE_CUT = 40;

async function startFleet(): Promise<TestFleet> {
  const size = { controls: 1, gateways: 1, events: EVENT_COUNT };
  const fleet = await startServingFleet(size);
  await addEnginesPerPlace(fleet);
  for (const { fault } of [...fleet.engines, ...fleet.plain]) {
    fault.omitsFraming = true;
    fault.closesOnCrash = true;
    fault.restartsAfterMs = 300;
  }
  return fleet;
}

test("a stream without length or chunks is passed on whole, and the connection is used again", async () => {
  await using fleet = await startFleet();
  const [{ address }] = fleet.gateways;
  for (let at = 0; at < 3; at++) {
    const { text, headers } = await call(address, { path: "/stream/1" });
    assert.is(text, expectStream(EVENT_COUNT));
    assert.is(headers.connection, "keep-alive");
  }
});

test("a stream without length or chunks whose engine crashes between two events is resumed", async () => {
  await using fleet = await startFleet();
  const [{ address }] = fleet.gateways;
  const answer = call(address, { path: "/stream/1", idPrefix: "cut" });
  const findRunning = () =>
    fleet.engines.find(({ runs }) =>
      runs.some(({ requestId }) => requestId.startsWith("cut"))
    );
  await until("an engine runs the stream", () => findRunning() !== undefined);
  await new Promise((resolve) => setTimeout(resolve, 100));
  await findRunning()?.failAndRestart();
  assert.is((await answer).text, expectStream(EVENT_COUNT));
});

test("a stream without length or chunks that ends inside an event is resumed", async () => {
  await using fleet = await startFleet();
  const [{ address }] = fleet.gateways;
  for (const { fault } of fleet.engines) {
    fault.resetAfterEvents = EVENTS_BEFORE_CUT;
    fault.cutsEvent = true;
  }
  const { text } = await call(address, { path: "/stream/1" });
  assert.is(text, expectStream(EVENT_COUNT));
});

test("an answer without length whose upstream crashes before its body is no success", async () => {
  await using fleet = await startFleet();
  const [{ address }] = fleet.gateways;
  for (const { fault } of fleet.plain) fault.crashesOnBodies = ["bad"];
  for (const path of ["/once/1", "/safe/1"]) {
    const answer = await call(address, { path, body: "bad" });
    assert.ok(answer.status >= 500, `${path}: ${answer.status}`);
    await until(
      "an upstream serves again",
      async () => (await call(address, { path })).status === 200,
    );
  }
});

test.run();
