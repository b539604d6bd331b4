/**
 * Guards against a gateway that ends a stream which it has passed on because the other
 * gateway is silent: two silent peers in a row spent what the route allows.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import {
  call,
  expectStream,
  makeWireConfig,
  startServingFleet,
} from "./support/fleet.ts";
import { startPartitionedGateway } from "./support/start_partitioned_gateway.ts";

const EVENTS = 200;

const STREAMS = 4;

const DEADLINE_MS = 30_000;

/** Longer than a gateway waits for an event of two peers in a row. */
const PAUSE_MS = 4_000;

for (
  const [name, extraRetries] of [["", 100], [
    ", and no retry is lent",
    0,
  ]] as const
) {
  test(`streams that were passed on are whole after the engines of all gateways were silent${name}`, async () => {
    await using fleet = await startServingFleet({
      gateways: 2,
      events: EVENTS,
      extraRetries,
    });
    const config = makeWireConfig(2, { timeoutMs: DEADLINE_MS });
    assert.is(await fleet.put(config), 200);
    await fleet.waitForVersion(2);
    await using cut = await startPartitionedGateway(fleet);
    cut.cut("hang");
    const answers = Array.from(
      { length: STREAMS },
      () =>
        call(cut.address, { path: "/stream/1", deadlineMs: DEADLINE_MS })
          .catch((error) => ({ status: 0, text: String(error) })),
    );
    const countRuns = () => fleet.engines.flatMap(({ runs }) => runs).length;
    await until("the streams run at peers", () => countRuns() >= STREAMS);
    await sleep(200);
    for (const { fault } of fleet.engines) fault.isPaused = true;
    await sleep(PAUSE_MS);
    for (const { fault } of fleet.engines) fault.isPaused = false;
    for (const { status, text } of await Promise.all(answers)) {
      const ends = cut.lines.filter(({ event }) => event === "callEndedBadly");
      assert.is(status, 200, JSON.stringify(ends));
      assert.is(text, expectStream(EVENTS));
    }
  });
}

test.run();
