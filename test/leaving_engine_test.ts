/**
 * An engine that leaves says so in each of its answers, before its heartbeats do or
 * instead of them. Gateways that passed such answers on went on sending to it: they
 * knew of a leave only what the leader told.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { LayerEngine } from "../standins/index.ts";
import {
  call,
  startServing,
  stopLeader,
  type TestFleet,
} from "./support/fleet.ts";
import { listRequests } from "./support/soak_callers.ts";

/** Ms within which all gateways have to know: the bound on news on the platform. */
const NEWS_MS = 3_000;

function countRequests(engine: LayerEngine): number {
  return listRequests(engine).length;
}

/** Asks until one of the engines has been used, and gives it. */
async function findUsed(
  fleet: TestFleet,
  options: { readonly path: string; readonly engines: readonly LayerEngine[] },
): Promise<LayerEngine> {
  const [{ address }] = fleet.gateways;
  const { path, engines } = options;
  await call(address, { path });
  const used = engines.find((one) => countRequests(one) > 0);
  if (!used) throw new Error("No engine was asked");
  return used;
}

async function askTimes(
  address: string,
  options: { readonly path: string; readonly times: number },
): Promise<void> {
  for (let at = 0; at < options.times; at++) {
    const { status, text } = await call(address, { path: options.path });
    assert.is(status, 200, text);
  }
}

for (const path of ["/stream/1", "/safe/1"]) {
  test(`an engine that says in an answer that it leaves gets nothing more at ${path}`, async () => {
    await using fleet = await startServing({ gateways: 2 });
    const engines = path === "/safe/1" ? fleet.plain : fleet.engines;
    const [near, other] = fleet.gateways;
    const engine = await findUsed(fleet, { path, engines });
    engine.fault.saysLeaving = true;
    const before = countRequests(engine);
    await until("it said so", async () => {
      await call(near.address, { path });
      return countRequests(engine) > before;
    });
    const told = countRequests(engine);
    await askTimes(near.address, { path, times: 30 });
    assert.is(countRequests(engine), told);
    // From now on it says nothing: the other gateway has to hear of it elsewhere.
    engine.fault.saysLeaving = false;
    await sleep(NEWS_MS);
    await askTimes(other.address, { path, times: 30 });
    assert.is(countRequests(engine), told);
    // A new leader knows too, and heartbeats that say otherwise change nothing.
    assert.ok(await stopLeader(fleet));
    const added = await fleet.addGateway();
    await until("it serves", () => added.gateway.isReady());
    await askTimes(added.address, { path, times: 10 });
    assert.is(countRequests(engine), told);
  });
}

test("an engine that says so while it turns requests away gets nothing more", async () => {
  await using fleet = await startServing({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  const path = "/safe/1";
  const engine = await findUsed(fleet, { path, engines: fleet.plain });
  engine.fault.saysLeaving = true;
  engine.fault.isFull = true;
  const before = countRequests(engine);
  await until("it turned one away", async () => {
    await call(address, { path });
    return countRequests(engine) > before;
  });
  engine.fault.isFull = false;
  await askTimes(address, { path, times: 30 });
  assert.is(countRequests(engine), before + 1);
});

test.run();
