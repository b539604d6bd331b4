/**
 * Guards against requests that reach upstreams with the wrong priority, or with one
 * where a service has no priorities.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EngineRun } from "../standins/index.ts";
import {
  call,
  makeWireConfig,
  startServingFleet,
  type TestFleet,
} from "./support/fleet.ts";

const PATHS = ["/stream/1", "/once/1"];

/** Sends a request on each path; gives the priorities that upstreams received. */
async function listReceived(
  fleet: TestFleet,
  key: string,
): Promise<readonly EngineRun["priority"][]> {
  const [{ address }] = fleet.gateways;
  const answers = await Promise.all(
    PATHS.map((path) => call(address, { path, key })),
  );
  return answers.map(({ status, requestId }) => {
    assert.is(status, 200);
    const runs = [...fleet.engines, ...fleet.plain]
      .flatMap((upstream) => upstream.runs)
      .filter((run) => run.requestId === requestId);
    assert.is(runs.length, 1);
    return runs[0].priority;
  });
}

test("upstreams are sent ranks once a service has several priorities, and none before", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  assert.equal(await listReceived(fleet, "key-1"), [undefined, undefined]);
  const tenants = [
    { name: "one", apiKeys: ["key-1"], priority: 1 },
    { name: "two", apiKeys: ["key-2"], priority: 0 },
  ];
  assert.is(await fleet.put({ ...makeWireConfig(2), tenants }), 200);
  await fleet.waitForVersion(2);
  assert.equal(await listReceived(fleet, "key-1"), ["1", "1"]);
  assert.equal(await listReceived(fleet, "key-2"), ["0", "0"]);
  await fleet.put(makeWireConfig(3));
  await fleet.waitForVersion(3);
  assert.equal(await listReceived(fleet, "key-1"), [undefined, undefined]);
});

test.run();
