/**
 * Guards against requests that reach upstreams with the wrong priority, or with one
 * where a service has no priorities, and against gateways that ignore the rank of a
 * stream when they place it.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
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

/** Prevents exempt calls, one in eight, until it is disposed of. */
function preventExemptions(): Disposable {
  const { random } = Math;
  Math.random = () => 0.125 + 0.875 * random();
  return {
    [Symbol.dispose]() {
      Math.random = random;
    },
  };
}

/** Two copies of the model have eight slots each. */
const SLOTS = 16;

/** Starts a fleet with an account for each of four priorities. */
async function startPriorityFleet(): Promise<TestFleet> {
  const fleet = await startServingFleet({
    controls: 1,
    gateways: 1,
    events: 400,
  });
  const tenants = [0, 1, 2, 3].map((priority) => ({
    name: `account-${priority}`,
    apiKeys: [`key-${priority}`],
    priority,
  }));
  assert.is(await fleet.put({ ...makeWireConfig(2), tenants }), 200);
  await fleet.waitForVersion(2);
  return fleet;
}

function listRuns(fleet: TestFleet): readonly EngineRun[] {
  return fleet.engines.flatMap((engine) => engine.runs);
}

test("after urgent streams found no slot, the next free one goes to them", async () => {
  using _ = preventExemptions();
  await using fleet = await startPriorityFleet();
  const [{ address }] = fleet.gateways;
  const send = (key: string, signal?: AbortSignal) =>
    call(address, { path: "/stream/1", key, signal });
  const leaving = new AbortController();
  const left = send("key-0", leaving.signal).catch(() => undefined);
  const running = Array.from({ length: SLOTS - 1 }, () => send("key-0"));
  await until("the streams run", () => listRuns(fleet).length === SLOTS);
  assert.is((await send("key-0")).status, 503);
  leaving.abort();
  await left;
  await until(
    "a slot is free",
    () => listRuns(fleet).some((run) => run.wasCut),
  );
  const [least, most] = await Promise.all([send("key-3"), send("key-0")]);
  const statuses = (await Promise.all(running)).map(({ status }) => status);
  assert.ok(statuses.every((status) => status === 200));
  assert.is(least.status, 503);
  assert.is(most.status, 200);
});

test("no slot is kept back while urgent streams find one", async () => {
  using _ = preventExemptions();
  await using fleet = await startPriorityFleet();
  const [{ address }] = fleet.gateways;
  const send = (key: string) => call(address, { path: "/stream/1", key });
  const running = Array.from({ length: SLOTS - 1 }, () => send("key-0"));
  await until("the streams run", () => listRuns(fleet).length === SLOTS - 1);
  assert.is((await send("key-3")).status, 200);
  const statuses = (await Promise.all(running)).map(({ status }) => status);
  assert.ok(statuses.every((status) => status === 200));
});

test.run();
