/**
 * Guards against entries that ignore the rate limit that a service sets, and send it
 * all requests of the callers.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { setTimeout as sleep } from "node:timers/promises";
import { until } from "../demo/until.ts";
import { type Answer, send, startTrial, type Trial } from "./support/trial.ts";

/** Rate limit of the services, in requests a second. */
const LIMIT_PER_S = 4;

const MS_PER_S = 1_000;

function sendCall({ entries }: Trial, at: number): Promise<Answer> {
  return send(`${entries[at % entries.length].address}/services/dashboard/x`, {
    method: "POST",
    body: "{}",
    headers: { "content-type": "application/json" },
  });
}

/** Sends requests to all entries in turn for a time; gives the answers. */
async function callAll(trial: Trial, spanMs: number): Promise<Answer[]> {
  const endMs = performance.now() + spanMs;
  const answers = [];
  for (let at = 0; performance.now() < endMs; at++) {
    answers.push(await sendCall(trial, at));
    await sleep(20);
  }
  return answers;
}

test("entries together keep to the rate limit of a service", async () => {
  await using trial = await startTrial({ entries: 2 });
  const [limited] = trial.plain;
  limited.fault.limitPerS = LIMIT_PER_S;
  await until("all entries have received the limit", async () => {
    await callAll(trial, 100);
    return limited.countArrivals() >= trial.entries.length;
  });
  const before = limited.countArrivals();
  const spanMs = 3_000;
  const answers = await callAll(trial, spanMs);
  const arrived = limited.countArrivals() - before;
  assert.ok(answers.every(({ status }) => status === 200));
  const most = LIMIT_PER_S * spanMs / MS_PER_S + trial.entries.length;
  assert.ok(arrived <= most, `${arrived} arrived`);
  assert.ok(arrived > 0);
  limited.fault.limitPerS = undefined;
  await until("the service is used without a limit", async () => {
    const from = limited.countArrivals();
    await callAll(trial, 500);
    return limited.countArrivals() - from > LIMIT_PER_S;
  });
});

test("a rejection without a limit doesn't end one", async () => {
  await using trial = await startTrial({ entries: 1 });
  const [limited] = trial.plain;
  limited.fault.limitPerS = LIMIT_PER_S;
  await until("the entry has received the limit", async () => {
    await callAll(trial, 100);
    return limited.countArrivals() > 0;
  });
  const arrivedBefore = limited.countArrivals();
  Object.assign(limited.fault, {
    saysNotRun: true,
    hidesLimitWhenNotRun: true,
  });
  await until("the service has rejected a request", async () => {
    await callAll(trial, 50);
    return limited.countArrivals() > arrivedBefore;
  });
  limited.fault.saysNotRun = false;
  const before = limited.countArrivals();
  // By then the limit admits one request, and no more of those sent together.
  await sleep(2 * MS_PER_S / LIMIT_PER_S);
  await Promise.all(Array.from({ length: 20 }, () => sendCall(trial, 0)));
  const arrived = limited.countArrivals() - before;
  assert.ok(arrived <= 1, `${arrived} arrived`);
});

test("requests are rejected without delay when all services are at their limits", async () => {
  await using trial = await startTrial({ entries: 1 });
  for (const { fault } of trial.plain) fault.limitPerS = 0.2;
  await callAll(trial, 300);
  for (const { status, headers } of await callAll(trial, 200)) {
    assert.is(status, 503);
    assert.is(headers["crowlever-outcome"], "not_run");
    const waitS = Number(headers["retry-after"]);
    assert.ok(waitS >= 1 && waitS <= 10, String(waitS));
  }
});

test.run();
