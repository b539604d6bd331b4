/**
 * Guards against gateways that keep sending to an engine that leaves. An engine marks
 * each of its answers as leaving, before its heartbeats do or instead of them, while
 * gateways learnt of leaving engines only from the leader.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { LayerEngine } from "../standins/index.ts";
import {
  call,
  startServingFleet,
  stopLeader,
  type TestFleet,
} from "./support/fleet.ts";
import { listRequests } from "./support/soak_callers.ts";

/** Time within which an update has to reach all gateways, as the platform requires. */
const PROPAGATION_MS = 3_000;

function countRequests(engine: LayerEngine): number {
  return listRequests(engine).length;
}

/** Sends a request and gives the engine that received it. */
async function findUsedEngine(
  fleet: TestFleet,
  options: { readonly path: string; readonly engines: readonly LayerEngine[] },
): Promise<LayerEngine> {
  const [{ address }] = fleet.gateways;
  const { path, engines } = options;
  await call(address, { path });
  const used = engines.find((one) => countRequests(one) > 0);
  if (!used) throw new Error("No engine received the request");
  return used;
}

async function sendCalls(
  address: string,
  options: { readonly path: string; readonly times: number },
): Promise<void> {
  for (let at = 0; at < options.times; at++) {
    const { status, text } = await call(address, { path: options.path });
    assert.is(status, 200, text);
  }
}

for (const path of ["/stream/1", "/safe/1"]) {
  test(`an engine that marks an answer as leaving gets no more requests at ${path}`, async () => {
    await using fleet = await startServingFleet({ gateways: 2 });
    const engines = path === "/safe/1" ? fleet.plain : fleet.engines;
    const [near, other] = fleet.gateways;
    const engine = await findUsedEngine(fleet, { path, engines });
    engine.fault.announcesLeaving = true;
    const before = countRequests(engine);
    await until("the engine has answered as leaving", async () => {
      await call(near.address, { path });
      return countRequests(engine) > before;
    });
    const requestsBefore = countRequests(engine);
    await sendCalls(near.address, { path, times: 30 });
    assert.is(countRequests(engine), requestsBefore);
    // Later answers are not marked: the other gateway has to learn of it from the leader.
    engine.fault.announcesLeaving = false;
    await sleep(PROPAGATION_MS);
    await sendCalls(other.address, { path, times: 30 });
    assert.is(countRequests(engine), requestsBefore);
    // A new leader keeps it, and heartbeats without the mark change nothing.
    assert.ok(await stopLeader(fleet));
    const added = await fleet.addGateway();
    await until("the new gateway is ready", () => added.gateway.isReady());
    await sendCalls(added.address, { path, times: 10 });
    assert.is(countRequests(engine), requestsBefore);
  });
}

test("an engine that marks a rejection as leaving gets no more requests", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  const path = "/safe/1";
  const engine = await findUsedEngine(fleet, { path, engines: fleet.plain });
  engine.fault.announcesLeaving = true;
  engine.fault.isFull = true;
  const before = countRequests(engine);
  await until("the engine has rejected a request", async () => {
    await call(address, { path });
    return countRequests(engine) > before;
  });
  engine.fault.isFull = false;
  await sendCalls(address, { path, times: 30 });
  assert.is(countRequests(engine), before + 1);
});

test.run();
