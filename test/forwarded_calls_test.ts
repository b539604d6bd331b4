/**
 * What holds for calls that a gateway passes on to a peer while it is cut off from
 * the upstreams.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { request } from "undici";
import { until } from "../demo/until.ts";
import { HEADER } from "../platform/names.ts";
import type { EngineRun, LayerEngine } from "../standins/index.ts";
import {
  call,
  expectStream,
  startServingFleet,
  type TestFleet,
} from "./support/fleet.ts";
import {
  type PartitionedGateway,
  startPartitionedGateway,
} from "./support/start_partitioned_gateway.ts";

const ROUTES = ["/stream/1", "/once/1", "/safe/1"];

/** Ms after which a gateway that was cut off has found out. */
const DETECTION_MS = 1_000;

function listRuns(fleet: TestFleet, requestId: string): EngineRun[] {
  return [...fleet.engines, ...fleet.plain].flatMap(({ runs }) => runs)
    .filter((run) => run.requestId === requestId);
}

function countLines({ lines }: PartitionedGateway, event: string): number {
  return lines.filter((line) => line.event === event).length;
}

/** Resolves once a gateway knows this many gateways, itself included. */
async function waitForGateways(
  gateway: PartitionedGateway,
  count: number,
): Promise<void> {
  await until(
    "the gateway knows the others",
    () => gateway.listAddresses().length === count,
  );
}

/** Cuts a gateway off and lets it find out. */
async function cutOff(gateway: PartitionedGateway): Promise<void> {
  gateway.cut("reset");
  await Promise.all(
    ROUTES.map((path) => call(gateway.address, { path, idPrefix: "first" })),
  );
}

test("a forwarded call reaches one upstream unaltered, with the account and not the key", async () => {
  await using fleet = await startServingFleet({ controls: 1 });
  await using gateway = await startPartitionedGateway(fleet);
  await cutOff(gateway);
  for (const path of ROUTES) {
    const options = { path: `${path}?a=b%20c`, body: "the body" };
    const { status, requestId } = await call(gateway.address, options);
    assert.is(status, 200);
    const [run, ...further] = listRuns(fleet, requestId);
    assert.equal(further, []);
    assert.is(run.account, "one");
    assert.is(run.target, options.path);
    assert.is(run.body, options.body);
  }
});

test("a forwarded call runs on no more upstreams than its route allows", async () => {
  await using fleet = await startServingFleet({ controls: 1 });
  await using gateway = await startPartitionedGateway(fleet);
  await cutOff(gateway);
  for (const { fault } of fleet.plain) fault.dropsAnswers = true;
  const once = await call(gateway.address, { path: "/once/1" });
  assert.is(once.status, 502);
  assert.is(listRuns(fleet, once.requestId).length, 1);
  const safe = await call(gateway.address, { path: "/safe/1" });
  assert.is(safe.status, 502);
  assert.is(listRuns(fleet, safe.requestId).length, 2);
});

test("where all gateways are cut off, calls are refused at once with a time to return", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 0 });
  await using one = await startPartitionedGateway(fleet);
  await using two = await startPartitionedGateway(fleet);
  await waitForGateways(one, 2);
  for (const gateway of [one, two]) gateway.cut("refuseNew");
  await Promise.all(
    [one, two].flatMap(({ address }) =>
      ROUTES.map((path) => call(address, { path }))
    ),
  );
  await sleep(DETECTION_MS);
  const forwardedBefore = countLines(one, "callForwarded");
  for (const path of ROUTES) {
    const answer = await call(one.address, { path });
    assert.is(answer.status, 503);
    assert.ok(answer.text.includes("cut_off"), answer.text);
    assert.ok(Number(answer.headers[HEADER.retryAfter]) > 0);
    assert.equal(listRuns(fleet, answer.requestId), []);
  }
  assert.is(countLines(one, "callForwarded"), forwardedBefore);
  assert.ok(one.listAddresses().length > 0);
});

test("a caller who sends the mark of a forwarded call harms nobody else", async () => {
  await using fleet = await startServingFleet({ controls: 1 });
  await using gateway = await startPartitionedGateway(fleet);
  await cutOff(gateway);
  const send = async (address: string) => {
    const answer = await request(`http://${address}/once/1`, {
      method: "POST",
      headers: {
        host: "a.example",
        [HEADER.requestId]: `forged-${address}`,
        [HEADER.key]: "key-1",
        [HEADER.forwardedBy]: "gateway-0",
      },
      body: "hello",
    });
    await answer.body.dump();
    return answer.statusCode;
  };
  assert.is(await send(fleet.gateways[0].address), 200);
  assert.is(await send(gateway.address), 503);
  const { status } = await call(gateway.address, { path: "/once/1" });
  assert.is(status, 200);
});

test("an upstream is told when the caller of a forwarded call leaves", async () => {
  await using fleet = await startServingFleet({ controls: 1, events: 1_000 });
  await using gateway = await startPartitionedGateway(fleet);
  gateway.cut("reset");
  const leaving = new AbortController();
  const answer = call(gateway.address, {
    path: "/stream/1",
    idPrefix: "left",
    signal: leaving.signal,
  }).catch(() => undefined);
  const findRun = () =>
    fleet.engines.flatMap(({ runs }) => runs)
      .find(({ requestId }) => requestId.startsWith("left"));
  await until("an upstream runs it", () => findRun() !== undefined);
  leaving.abort();
  await answer;
  await until("the upstream was told", () => findRun()?.wasCut === true);
});

for (const kind of ["hang", "reset"] as const) {
  test(`a stream goes on through a peer from its last event when its gateway is cut off: ${kind}`, async () => {
    const events = 300;
    await using fleet = await startServingFleet({ controls: 1, events });
    await using gateway = await startPartitionedGateway(fleet);
    await call(gateway.address, { path: "/stream/1" });
    const answers = Array.from(
      { length: 3 },
      () => call(gateway.address, { path: "/stream/1", idPrefix: "cut" }),
    );
    await sleep(300);
    gateway.cut(kind);
    for (const { text, requestId } of await Promise.all(answers)) {
      assert.is(text, expectStream(events));
      const resumed = listRuns(fleet, requestId)
        .filter(({ lastEventId }) => Number(lastEventId) > 0);
      assert.is(resumed.length, 1);
    }
  });
}

test("a call whose peer dies may have run, and a stream goes on through another peer", async () => {
  const events = 600;
  await using fleet = await startServingFleet({
    controls: 1,
    gateways: 0,
    events,
  });
  await using gateway = await startPartitionedGateway(fleet);
  await using peer = await startPartitionedGateway(fleet);
  await waitForGateways(gateway, 2);
  await cutOff(gateway);
  for (const { fault } of fleet.plain) fault.hangs = true;
  const once = call(gateway.address, { path: "/once/1", idPrefix: "lost" });
  const stream = call(gateway.address, { path: "/stream/1", idPrefix: "kept" });
  const hasRun = (upstreams: readonly LayerEngine[], prefix: string) =>
    upstreams.some(({ runs }) =>
      runs.some(({ requestId }) => requestId.startsWith(prefix))
    );
  await until(
    "both run",
    () => hasRun(fleet.plain, "lost") && hasRun(fleet.engines, "kept"),
  );
  await fleet.addGateway();
  await sleep(DETECTION_MS);
  await peer.kill();
  assert.is((await once).status, 502);
  const { text } = await stream;
  assert.is(text, expectStream(events));
});

test("after a partition a gateway uses its own upstreams again, and keeps to them", async () => {
  await using fleet = await startServingFleet({ controls: 1 });
  await using gateway = await startPartitionedGateway(fleet);
  for (const kind of ["hang", "reset"] as const) {
    gateway.cut(kind);
    await Promise.all(
      ROUTES.map((path) => call(gateway.address, { path })),
    );
    await sleep(DETECTION_MS);
    gateway.heal();
    await sleep(DETECTION_MS);
    const forwarded = countLines(gateway, "callForwarded");
    for (const path of [...ROUTES, ...ROUTES, ...ROUTES]) {
      assert.is((await call(gateway.address, { path })).status, 200);
    }
    assert.is(countLines(gateway, "callForwarded"), forwarded);
  }
});

test.run();
