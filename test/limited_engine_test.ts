/**
 * Guards against gateways that exceed the rate limit of an overloaded engine. An engine
 * that set a limit of 4.6 requests a second for all gateways together still got 13 a
 * second from eleven gateways, 54 in four seconds, and served them all. Gateways ignored
 * the limit, and a limit that each gateway applies by itself does not bound their sum.
 * In a test fleet, 81 of the 85 streams that reached an engine after it had set its limit
 * came from gateways that knew the limit, and a single gateway sent 82 in five seconds,
 * where 23 were allowed.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { countMostInWindow } from "../proof/count_most_in_window.ts";
import type { LayerEngine } from "../standins/index.ts";

import {
  call,
  startServingFleet,
  stopLeader,
  type TestFleet,
} from "./support/fleet.ts";
import { listRequests } from "./support/soak_callers.ts";

/** Rate limit of the limited engine, in requests a second. */
const LIMIT_PER_S = 4.6;

/** Length of the window in which requests are counted. */
const WINDOW_MS = 4_000;

/**
 * Most requests that may reach the engine in a window: one and a half times what the
 * limit allows, plus five.
 */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;

/** Time within which a limit that one gateway received reaches all gateways. */
const PROPAGATION_MS = 3_000;

/** Interval between two requests of the callers. */
const CALL_INTERVAL_MS = 25;

/** Sends requests to all gateways in turn for a time; gives the answers' statuses. */
async function callAll(
  fleet: TestFleet,
  options: { readonly path: string; readonly spanMs: number },
): Promise<readonly number[]> {
  const { path, spanMs } = options;
  const endMs = performance.now() + spanMs;
  const answers = [];
  for (let at = 0; performance.now() < endMs; at++) {
    const { address } = fleet.gateways[at % fleet.gateways.length];
    answers.push(call(address, { path }));
    await sleep(CALL_INTERVAL_MS);
  }
  return (await Promise.all(answers)).map(({ status }) => status);
}

function listRequestTimes(engine: LayerEngine): number[] {
  return listRequests(engine).map(({ atMs }) => atMs);
}

/** Gives the most requests that reached an engine in any window after a time. */
function countBusiestWindow(engine: LayerEngine, fromMs: number): number {
  const timesMs = listRequestTimes(engine).filter((atMs) => atMs >= fromMs);
  return countMostInWindow(timesMs, WINDOW_MS);
}

function getBusiestEngine(engines: readonly LayerEngine[]): LayerEngine {
  const getCount = (engine: LayerEngine) => listRequestTimes(engine).length;
  return [...engines].sort((a, b) => getCount(b) - getCount(a))[0];
}

for (const path of ["/stream/1", "/safe/1", "/once/1"]) {
  test(`gateways together keep to an engine's limit at ${path}`, async () => {
    // Short streams: the other engines have capacity for all, on a busy machine too.
    const size = { controls: 1, gateways: 4, events: 4 };
    await using fleet = await startServingFleet(size);
    await callAll(fleet, { path, spanMs: 500 });
    const engine = getBusiestEngine(
      path === "/stream/1" ? fleet.engines : fleet.plain,
    );
    engine.fault.announcesLimit = [String(LIMIT_PER_S)];
    const namedMs = performance.now();
    const statuses = await callAll(fleet, {
      path,
      spanMs: PROPAGATION_MS + WINDOW_MS,
    });
    const most = countBusiestWindow(engine, namedMs + PROPAGATION_MS);
    assert.ok(most <= MAX_IN_WINDOW, `${most} requests in 4 s`);
    assert.ok(most >= MAX_IN_WINDOW / 4, `only ${most} requests in 4 s`);
    assert.ok(statuses.every((status) => status === 200), statuses.join());
  });
}

test("an engine that no longer sets a limit is used without one", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 3 });
  const path = "/safe/1";
  for (const { fault } of fleet.plain) fault.announcesLimit = ["1"];
  await callAll(fleet, { path, spanMs: 1_000 });
  const limitedMs = performance.now();
  await callAll(fleet, { path, spanMs: 2_000 });
  const count = (fromMs: number) =>
    fleet.plain.flatMap(listRequestTimes).filter((ms) => ms >= fromMs).length;
  assert.ok(count(limitedMs) <= 6, `${count(limitedMs)} while limited`);
  for (const { fault } of fleet.plain) fault.announcesLimit = undefined;
  await until("all gateways know that the limits ended", async () => {
    const statuses = await callAll(fleet, { path, spanMs: 250 });
    return statuses.every((status) => status === 200);
  });
});

test("a rejection without a limit doesn't end one", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 2 });
  const path = "/safe/1";
  const [engine] = fleet.plain;
  engine.fault.announcesLimit = ["5"];
  await callAll(fleet, { path, spanMs: 1_000 });
  Object.assign(engine.fault, { isFull: true, hidesLimitWhenFull: true });
  const fromMs = performance.now();
  await callAll(fleet, { path, spanMs: WINDOW_MS });
  const most = countBusiestWindow(engine, fromMs);
  assert.ok(most <= 5 * WINDOW_MS / 1_000 + 2, `${most} requests in 4 s`);
});

for (const path of ["/stream/1", "/safe/1"]) {
  test(`requests are rejected without delay when all engines are at their limits at ${path}`, async () => {
    await using fleet = await startServingFleet({ controls: 1, gateways: 3 });
    const engines = path === "/stream/1" ? fleet.engines : fleet.plain;
    for (const { fault } of engines) fault.announcesLimit = ["0.5"];
    await callAll(fleet, { path, spanMs: 1_000 });
    const refusals = [];
    for (let at = 0; at < 60; at++) {
      const { address } = fleet.gateways[at % 3];
      const sentMs = performance.now();
      const answer = await call(address, { path });
      const tookMs = performance.now() - sentMs;
      if (answer.status !== 200) refusals.push({ ...answer, tookMs });
      await sleep(10);
    }
    assert.ok(refusals.length >= 50, `${refusals.length} refused`);
    const waitsS = refusals.map(({ headers }) =>
      Number(headers["retry-after"])
    );
    for (const { status, text } of refusals) {
      assert.is(status, 503);
      assert.match(text, /limited/);
    }
    // Waits are spread, so that retries share the rate that the limits admit.
    assert.ok(waitsS.every((waitS) => waitS > 0 && waitS <= 8), waitsS.join());
    assert.ok(new Set(waitsS).size > refusals.length / 2, waitsS.join());
    const tookMs = refusals.map((one) => one.tookMs).sort((a, b) => a - b);
    assert.ok(tookMs[Math.floor(tookMs.length / 2)] < 100, tookMs.join());
  });
}

test("a new gateway and a new leader keep the limits", async () => {
  await using fleet = await startServingFleet({ controls: 3, gateways: 2 });
  const path = "/safe/1";
  const { plain } = fleet;
  for (const { fault } of plain) fault.announcesLimit = ["2"];
  await callAll(fleet, { path, spanMs: 1_000 });
  const fromMs = performance.now();
  const added = fleet.addGateway();
  const stopped = stopLeader(fleet);
  await callAll(fleet, { path, spanMs: 3_000 });
  await Promise.all([added, stopped]);
  await callAll(fleet, { path, spanMs: 3_000 });
  for (const engine of plain) {
    const most = countBusiestWindow(engine, fromMs);
    assert.ok(most <= 2 * WINDOW_MS / 1_000 + 1, `${most} requests in 4 s`);
  }
  assert.ok(plain.flatMap(listRequestTimes).some((ms) => ms > fromMs + 3_000));
});

test.run();
