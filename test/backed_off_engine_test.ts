/**
 * Guards against gateways that ignore the back-off that an overloaded engine requests
 * with a rejection. An engine that requested 3 s got up to seven more requests from the
 * same gateway in that time and rejected each, which cost the callers a retry. A
 * rejection raised the engine's cost for 200 ms only, and for plain calls not at all: of
 * 86 pairs of consecutive rejections at one gateway 85 were 202 ms apart or more, and in
 * a test fleet all but the first of each gateway's 43 streams and 108 calls at two
 * backed-off engines were sent during the back-off, 200 ms after the last rejection,
 * though other engines were idle.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { LayerEngine } from "../standins/index.ts";
import { call, type CallAnswer, startServingFleet } from "./support/fleet.ts";
import { listRequests } from "./support/soak_callers.ts";

const MS_PER_S = 1_000;

/** Back-off that the engines request, in seconds. */
const BACK_OFF_S = 1.5;

/** Sends requests one after the other for a time; gives the answers. */
async function callFor(
  spanMs: number,
  options: { readonly address: string; readonly path: string },
): Promise<readonly (CallAnswer & { readonly tookMs: number })[]> {
  const { address, path } = options;
  const endMs = performance.now() + spanMs;
  const answers = [];
  while (performance.now() < endMs) {
    const sentMs = performance.now();
    const answer = await call(address, { path });
    answers.push({ ...answer, tookMs: performance.now() - sentMs });
    await sleep(5);
  }
  return answers;
}

function countRequests(engine: LayerEngine): number {
  return listRequests(engine).length;
}

function holdsFirstLayers(engine: LayerEngine): boolean {
  const [from, to] = engine.getRange();
  return from === 0 && to > 0;
}

for (const path of ["/stream/1", "/safe/1", "/once/1"]) {
  test(`an engine that requests a back-off gets no more requests at ${path}`, async () => {
    await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
    const [{ address }] = fleet.gateways;
    const all = path === "/stream/1" ? fleet.engines : fleet.plain;
    // The engine that is chosen first becomes the overloaded one.
    await call(address, { path });
    const engine = all.find((one) => countRequests(one) > 0);
    if (!engine) throw new Error("No engine received the request");
    engine.fault.rejectsWithRetryAfter = [String(BACK_OFF_S)];
    const before = countRequests(engine);
    await until("the engine has rejected a request", async () => {
      await call(address, { path });
      return countRequests(engine) > before;
    });
    const answers = await callFor(BACK_OFF_S * MS_PER_S * 0.8, {
      address,
      path,
    });
    assert.is(countRequests(engine), before + 1);
    assert.ok(answers.length > 3);
    assert.ok(answers.every(({ status }) => status === 200));
    // After the back-off the engine is used again.
    engine.fault.rejectsWithRetryAfter = undefined;
    await until("the engine serves again", async () => {
      await call(address, { path });
      return countRequests(engine) > before + 1;
    });
  });
}

test("requests are rejected without delay, with the end of the first back-off, if all engines are backed off", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  for (
    const [path, engines] of [
      ["/safe/1", fleet.plain],
      ["/stream/1", fleet.engines.filter(holdsFirstLayers)],
    ] as const
  ) {
    engines.forEach(({ fault }) =>
      fault.rejectsWithRetryAfter = [String(BACK_OFF_S)]
    );
    const startedMs = performance.now();
    await until("all engines have requested a back-off", async () => {
      await call(address, { path });
      return engines.every((one) => countRequests(one) > 0);
    });
    const before = engines.map(countRequests);
    const answers = await callFor(300, { address, path });
    const backOffEndMs = startedMs + BACK_OFF_S * MS_PER_S;
    assert.equal(engines.map(countRequests), before);
    for (const { status, headers, text } of answers) {
      assert.is(status, 503);
      assert.match(text, /resting/);
      const waitS = Number(headers["retry-after"]);
      const leftMs = backOffEndMs - performance.now();
      assert.ok(waitS * MS_PER_S >= leftMs, `${waitS} s, ${leftMs} ms`);
      assert.ok(waitS < 2 * BACK_OFF_S, `${waitS} s`);
    }
    // The end of the back-off is known, so no caller is kept waiting.
    const tookMs = answers.map((answer) => answer.tookMs).sort((a, b) => a - b);
    assert.ok(tookMs[Math.floor(tookMs.length / 2)] < 100, tookMs.join());
  }
});

test("a late request for a back-off doesn't make an engine suspected", async () => {
  const lines: string[] = [];
  await using fleet = await startServingFleet({
    controls: 1,
    gateways: 1,
    log: (name) => void lines.push(name),
  });
  const [{ address }] = fleet.gateways;
  const [engine] = fleet.plain;
  const model = fleet.engines.find(holdsFirstLayers);
  for (const { fault } of [engine, model as LayerEngine]) {
    fault.rejectsWithRetryAfter = [String(BACK_OFF_S)];
    fault.refusalDelayMs = 1_100;
  }
  await until("both engines have requested a back-off", async () => {
    await Promise.all([
      call(address, { path: "/safe/1" }),
      call(address, { path: "/stream/1" }),
    ]);
    return lines.filter((name) => name === "engineAsksForBackOff").length >= 2;
  });
  assert.not.ok(lines.includes("engineSuspected"));
});

test("a restarted engine is not backed off", async () => {
  await using fleet = await startServingFleet({ controls: 1, gateways: 1 });
  const [{ address }] = fleet.gateways;
  const [engine] = fleet.plain;
  engine.fault.rejectsWithRetryAfter = ["600"];
  engine.fault.restartsAfterMs = 100;
  await until("the engine has rejected a request", async () => {
    await call(address, { path: "/safe/1" });
    return countRequests(engine) > 0;
  });
  const before = countRequests(engine);
  await callFor(600, { address, path: "/safe/1" });
  assert.is(countRequests(engine), before);
  engine.fault.rejectsWithRetryAfter = undefined;
  await engine.failAndRestart();
  await until("the new incarnation serves", async () => {
    await call(address, { path: "/safe/1" });
    return countRequests(engine) > before;
  });
});

test.run();
