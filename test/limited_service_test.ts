/**
 * A service that names how many requests a second it takes went on getting as many
 * as callers asked for: entries did not read what it named.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { setTimeout as sleep } from "node:timers/promises";
import { until } from "../demo/until.ts";
import { type Answer, send, startTrial, type Trial } from "./support/trial.ts";

/** Requests a second that services take here. */
const LIMIT_PER_S = 4;

const MS_PER_S = 1_000;

function ask({ entries }: Trial, at: number): Promise<Answer> {
  return send(`${entries[at % entries.length].address}/services/dashboard/x`, {
    method: "POST",
    body: "{}",
    headers: { "content-type": "application/json" },
  });
}

/** Asks all entries in turn for a while; gives their answers. */
async function askAll(trial: Trial, spanMs: number): Promise<Answer[]> {
  const endMs = performance.now() + spanMs;
  const answers = [];
  for (let at = 0; performance.now() < endMs; at++) {
    answers.push(await ask(trial, at));
    await sleep(20);
  }
  return answers;
}

test("entries together keep to the limit of a service", async () => {
  await using trial = await startTrial({ entries: 2 });
  const [limited] = trial.plain;
  limited.fault.limitPerS = LIMIT_PER_S;
  await until("all entries were told", async () => {
    await askAll(trial, 100);
    return limited.countArrivals() >= trial.entries.length;
  });
  const before = limited.countArrivals();
  const spanMs = 3_000;
  const answers = await askAll(trial, spanMs);
  const arrived = limited.countArrivals() - before;
  assert.ok(answers.every(({ status }) => status === 200));
  const most = LIMIT_PER_S * spanMs / MS_PER_S + trial.entries.length;
  assert.ok(arrived <= most, `${arrived} arrived`);
  assert.ok(arrived > 0);
  limited.fault.limitPerS = undefined;
  await until("it is used as before", async () => {
    const from = limited.countArrivals();
    await askAll(trial, 500);
    return limited.countArrivals() - from > LIMIT_PER_S;
  });
});

test("a refusal that names no limit doesn't end one", async () => {
  await using trial = await startTrial({ entries: 1 });
  const [limited] = trial.plain;
  limited.fault.limitPerS = LIMIT_PER_S;
  await until("the entry was told", async () => {
    await askAll(trial, 100);
    return limited.countArrivals() > 0;
  });
  const told = limited.countArrivals();
  Object.assign(limited.fault, {
    saysNotRun: true,
    hidesLimitWhenNotRun: true,
  });
  await until("it refused one", async () => {
    await askAll(trial, 50);
    return limited.countArrivals() > told;
  });
  limited.fault.saysNotRun = false;
  const before = limited.countArrivals();
  // By then it takes the next request, and no more of those that come together.
  await sleep(2 * MS_PER_S / LIMIT_PER_S);
  await Promise.all(Array.from({ length: 20 }, () => ask(trial, 0)));
  const arrived = limited.countArrivals() - before;
  assert.ok(arrived <= 1, `${arrived} arrived`);
});

test("where all services are at their limits callers are told at once", async () => {
  await using trial = await startTrial({ entries: 1 });
  for (const { fault } of trial.plain) fault.limitPerS = 0.2;
  await askAll(trial, 300);
  for (const { status, headers } of await askAll(trial, 200)) {
    assert.is(status, 503);
    assert.is(headers["crowlever-outcome"], "not_run");
    const waitS = Number(headers["retry-after"]);
    assert.ok(waitS >= 1 && waitS <= 10, String(waitS));
  }
});

test.run();
