/**
 * An engine that couldn't cope named the requests a second that it takes from all
 * gateways together, 4.6. It went on getting 13 a second from eleven gateways, 54
 * in four seconds. Callers noticed nothing: it served them all, which is what it
 * had asked not to have to do. The limit was read nowhere, and had it been, each
 * gateway alone would have spent all of it: nothing bounded what all of them send.
 * Evidence: of 85 streams that reached an engine of a test fleet after it had named
 * its limit 81 were sent by gateways that had its answer, and a single gateway sent
 * 82 in five seconds, where 23 were allowed.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { countMostInWindow } from "../proof/count_most_in_window.ts";
import type { LayerEngine } from "../standins/index.ts";

import {
  call,
  startServing,
  stopLeader,
  type TestFleet,
} from "./support/fleet.ts";
import { listRequests } from "./support/soak_callers.ts";

/** Requests a second that the limited engine takes. */
const LIMIT_PER_S = 4.6;

/** Ms over which requests are counted. */
const WINDOW_MS = 4_000;

/**
 * Requests that may reach it in such a window: half as many again as the limit
 * allows, and five.
 */
const MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;

/** Ms in which all gateways hear of a limit that one was told. */
const NEWS_MS = 3_000;

/** Ms between two requests of the callers. */
const ASK_INTERVAL_MS = 25;

/** Asks all gateways in turn for a while; gives the statuses of the answers. */
async function askAll(
  fleet: TestFleet,
  options: { readonly path: string; readonly spanMs: number },
): Promise<readonly number[]> {
  const { path, spanMs } = options;
  const endMs = performance.now() + spanMs;
  const answers = [];
  for (let at = 0; performance.now() < endMs; at++) {
    const { address } = fleet.gateways[at % fleet.gateways.length];
    answers.push(call(address, { path }));
    await sleep(ASK_INTERVAL_MS);
  }
  return (await Promise.all(answers)).map(({ status }) => status);
}

function listRequestTimes(engine: LayerEngine): number[] {
  return listRequests(engine).map(({ atMs }) => atMs);
}

/** The most requests that reached an engine in one window from a time on. */
function getBusiestWindow(engine: LayerEngine, fromMs: number): number {
  const timesMs = listRequestTimes(engine).filter((atMs) => atMs >= fromMs);
  return countMostInWindow(timesMs, WINDOW_MS);
}

function getBusiest(engines: readonly LayerEngine[]): LayerEngine {
  const getCount = (engine: LayerEngine) => listRequestTimes(engine).length;
  return [...engines].sort((a, b) => getCount(b) - getCount(a))[0];
}

for (const path of ["/stream/1", "/safe/1", "/once/1"]) {
  test(`gateways together keep to an engine's limit at ${path}`, async () => {
    // Short streams: the other engines have room for all of them on a busy machine too.
    const size = { controls: 1, gateways: 4, events: 4 };
    await using fleet = await startServing(size);
    await askAll(fleet, { path, spanMs: 500 });
    const engine = getBusiest(
      path === "/stream/1" ? fleet.engines : fleet.plain,
    );
    engine.fault.namesLimit = [String(LIMIT_PER_S)];
    const namedMs = performance.now();
    const statuses = await askAll(fleet, {
      path,
      spanMs: NEWS_MS + WINDOW_MS,
    });
    const most = getBusiestWindow(engine, namedMs + NEWS_MS);
    assert.ok(most <= MOST_IN_WINDOW, `${most} requests in 4 s`);
    assert.ok(most >= MOST_IN_WINDOW / 4, `only ${most} requests in 4 s`);
    assert.ok(statuses.every((status) => status === 200), statuses.join());
  });
}

test("an engine that no longer names a limit is used as before", async () => {
  await using fleet = await startServing({ controls: 1, gateways: 3 });
  const path = "/safe/1";
  for (const { fault } of fleet.plain) fault.namesLimit = ["1"];
  await askAll(fleet, { path, spanMs: 1_000 });
  const limitedMs = performance.now();
  await askAll(fleet, { path, spanMs: 2_000 });
  const count = (fromMs: number) =>
    fleet.plain.flatMap(listRequestTimes).filter((ms) => ms >= fromMs).length;
  assert.ok(count(limitedMs) <= 6, `${count(limitedMs)} while limited`);
  for (const { fault } of fleet.plain) fault.namesLimit = undefined;
  await until("the end of the limits is known", async () => {
    const statuses = await askAll(fleet, { path, spanMs: 250 });
    return statuses.every((status) => status === 200);
  });
});

test("a refusal that names no limit doesn't end one", async () => {
  await using fleet = await startServing({ controls: 1, gateways: 2 });
  const path = "/safe/1";
  const [engine] = fleet.plain;
  engine.fault.namesLimit = ["5"];
  await askAll(fleet, { path, spanMs: 1_000 });
  Object.assign(engine.fault, { isFull: true, hidesLimitWhenFull: true });
  const fromMs = performance.now();
  await askAll(fleet, { path, spanMs: WINDOW_MS });
  const most = getBusiestWindow(engine, fromMs);
  assert.ok(most <= 5 * WINDOW_MS / 1_000 + 2, `${most} requests in 4 s`);
});

for (const path of ["/stream/1", "/safe/1"]) {
  test(`callers are told at once where all are at their limits at ${path}`, async () => {
    await using fleet = await startServing({ controls: 1, gateways: 3 });
    const engines = path === "/stream/1" ? fleet.engines : fleet.plain;
    for (const { fault } of engines) fault.namesLimit = ["0.5"];
    await askAll(fleet, { path, spanMs: 1_000 });
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
    // What the limits let through is divided among all who come again.
    assert.ok(waitsS.every((waitS) => waitS > 0 && waitS <= 8), waitsS.join());
    assert.ok(new Set(waitsS).size > refusals.length / 2, waitsS.join());
    const tookMs = refusals.map((one) => one.tookMs).sort((a, b) => a - b);
    assert.ok(tookMs[Math.floor(tookMs.length / 2)] < 100, tookMs.join());
  });
}

test("a gateway that joins and a new leader know the limits", async () => {
  await using fleet = await startServing({ controls: 3, gateways: 2 });
  const path = "/safe/1";
  const { plain } = fleet;
  for (const { fault } of plain) fault.namesLimit = ["2"];
  await askAll(fleet, { path, spanMs: 1_000 });
  const fromMs = performance.now();
  const added = fleet.addGateway();
  const stopped = stopLeader(fleet);
  await askAll(fleet, { path, spanMs: 3_000 });
  await Promise.all([added, stopped]);
  await askAll(fleet, { path, spanMs: 3_000 });
  for (const engine of plain) {
    const most = getBusiestWindow(engine, fromMs);
    assert.ok(most <= 2 * WINDOW_MS / 1_000 + 1, `${most} requests in 4 s`);
  }
  assert.ok(plain.flatMap(listRequestTimes).some((ms) => ms > fromMs + 3_000));
});

test.run();
