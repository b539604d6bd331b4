/**
 * Guards against requests that share one part of their prompt and crash every engine
 * that begins to answer them. No two of them are alike, so quarantining requests one by
 * one never ends the crashes.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import {
  addEnginesPerPlace,
  call,
  type CallAnswer,
  expectStream,
  startServingFleet,
  stopLeader,
  type TestFleet,
} from "./support/fleet.ts";
import { repeatCalls } from "./support/repeat_calls.ts";

/** Most engines that requests with one part may crash, whichever gateways get them. */
const MAX_CRASHES = 5;

/** Time after which a crashed engine restarts under a new id. */
const RESTART_MS = 700;

const CRASHING_PART = "dead0001";

/** Part with which all prompts of the route begin. */
const FIRST_PART = "0f";

async function startFleet(): Promise<TestFleet> {
  const fleet = await startServingFleet();
  await addEnginesPerPlace(fleet);
  for (const { fault } of [...fleet.engines, ...fleet.plain]) {
    fault.crashesOnParts = [CRASHING_PART];
    fault.restartsAfterMs = RESTART_MS;
    fault.changesIdOnRestart = true;
  }
  return fleet;
}

function countCrashes(fleet: TestFleet): number {
  return [...fleet.engines, ...fleet.plain]
    .reduce((sum, engine) => sum + engine.crashes.length, 0);
}

let lastPrompt = 0;

/** Sends a request unlike any other; gives undefined if the answer broke off. */
async function tryCall(
  fleet: TestFleet,
  options: { path: string; parts: readonly string[] },
): Promise<CallAnswer | undefined> {
  lastPrompt += 1;
  const { address } = fleet.gateways[lastPrompt % fleet.gateways.length];
  return await call(address, {
    path: options.path,
    body: `prompt ${lastPrompt}`,
    parts: [...options.parts, (lastPrompt + 0xa0000).toString(16)],
    deadlineMs: 4_000,
  }).catch(() => undefined);
}

/** Sends requests with the crashing part, one after the other; gives the last answer. */
async function sendCrashingCalls(
  fleet: TestFleet,
  options: { path: string; times: number; gapMs: number },
): Promise<CallAnswer | undefined> {
  const { path, times, gapMs } = options;
  let last: CallAnswer | undefined;
  for (let at = 0; at < times; at++) {
    const parts = [FIRST_PART, `b${at % 4}`, CRASHING_PART];
    last = await tryCall(fleet, { path, parts });
    await sleep(gapMs);
  }
  return last;
}

/** Sends harmless requests that share the other parts, until stopped. */
function startHarmlessCalls(fleet: TestFleet, path: string) {
  const state = { served: 0, heldBack: 0 };
  const calls = repeatCalls(async (at) => {
    const parts = [FIRST_PART, `b${at % 4}`, `c${at % 12}`];
    const answer = await tryCall(fleet, { path, parts });
    if (answer?.text === expectStream()) state.served += 1;
    if (answer?.text.includes("held_back")) state.heldBack += 1;
  });
  return {
    async stop() {
      const asked = await calls.stop();
      return { asked, ...state };
    },
  };
}

async function untilLayersHeld(fleet: TestFleet): Promise<void> {
  await until(
    "all engines hold layers again",
    () => fleet.engines.every((engine) => engine.getRange()[1] > 0),
  );
  await sleep(600);
}

for (const path of ["/stream/1", "/safe/1"]) {
  test(`requests at ${path} that share a crashing part crash few engines`, async () => {
    await using fleet = await startFleet();
    const options = { path, times: 25, gapMs: 200 };
    const last = await sendCrashingCalls(fleet, options);
    assert.ok(countCrashes(fleet) <= MAX_CRASHES, `${countCrashes(fleet)}`);
    assert.is(last?.status, 503);
    assert.match(last?.text ?? "", /held_back/);
    assert.ok(Number(last?.headers["retry-after"]) > 1);
  });
}

test("requests that share all other parts are served beside a crashing part", async () => {
  await using fleet = await startFleet();
  const harmless = startHarmlessCalls(fleet, "/stream/1");
  await sleep(300);
  await sendCrashingCalls(fleet, { path: "/stream/1", times: 25, gapMs: 200 });
  const { heldBack } = await harmless.stop();
  assert.ok(countCrashes(fleet) <= MAX_CRASHES, `${countCrashes(fleet)}`);
  assert.is(heldBack, 0);
  await untilLayersHeld(fleet);
  const after = startHarmlessCalls(fleet, "/stream/1");
  await sendCrashingCalls(fleet, { path: "/stream/1", times: 5, gapMs: 200 });
  const { asked, served } = await after.stop();
  assert.is(served, asked);
});

test("a new leader and a new gateway keep a crashing part in quarantine", async () => {
  await using fleet = await startFleet();
  const sending = sendCrashingCalls(fleet, {
    path: "/stream/1",
    times: 25,
    gapMs: 200,
  });
  await until("two engines crashed", () => countCrashes(fleet) >= 2);
  assert.ok(await stopLeader(fleet));
  await sending;
  const added = await fleet.addGateway();
  await until("the new gateway is ready", () => added.gateway.isReady());
  await sendCrashingCalls(fleet, { path: "/stream/1", times: 6, gapMs: 100 });
  assert.ok(countCrashes(fleet) <= MAX_CRASHES, `${countCrashes(fleet)}`);
});

test.run();
