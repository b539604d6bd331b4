/**
 * An engine that couldn't cope named the requests a second that it takes from all
 * gateways together, 4.6. It went on getting 13 a second from eleven gateways, 54
 * in four seconds. Callers noticed nothing: it served them all, which is what it
 * had asked not to have to do.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LayerEngine } from "../standins/index.ts";
import { call, startServing, type TestFleet } from "./support/fleet.ts";

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

function listRequestTimes({ arrivals }: LayerEngine): number[] {
  return arrivals.filter(({ type }) => type === "request")
    .map(({ atMs }) => atMs);
}

/** The most requests that reached an engine in one window from a time on. */
function getBusiestWindow(engine: LayerEngine, fromMs: number): number {
  const timesMs = listRequestTimes(engine).filter((atMs) => atMs >= fromMs);
  const counts = timesMs.map((startMs) =>
    timesMs.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS)
      .length
  );
  return Math.max(0, ...counts);
}

function getBusiest(engines: readonly LayerEngine[]): LayerEngine {
  const getCount = (engine: LayerEngine) => listRequestTimes(engine).length;
  return [...engines].sort((a, b) => getCount(b) - getCount(a))[0];
}

for (const path of ["/stream/1", "/safe/1", "/once/1"]) {
  test(`gateways together keep to an engine's limit at ${path}`, async () => {
    await using fleet = await startServing({ controls: 1, gateways: 4 });
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

test.run();
