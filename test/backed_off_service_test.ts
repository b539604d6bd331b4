/**
 * Guards against entries that ignore the back-off that a service requests with a
 * rejection. The rejection counted as a failure: only three in a row ejected the
 * service, and for a time of the entry's own, so the next request reached it.
 */

import { suite } from "uvu";
import * as assert from "uvu/assert";
import { setTimeout as sleep } from "node:timers/promises";
import { type Answer, send, startTrial, type Trial } from "./support/trial.ts";

const test = suite<{ trial: Trial }>("backed-off services");

/** Back-off that the services request, in seconds. */
const BACK_OFF_S = 1;

test.before.each(async (context) => {
  context.trial = await startTrial({ entries: 1 });
});

test.after.each(async ({ trial }) => {
  await trial[Symbol.asyncDispose]();
});

function sendCall({ entries }: Trial): Promise<Answer> {
  return send(`${entries[0].address}/services/dashboard/x`, {
    method: "POST",
    body: "{}",
    headers: { "content-type": "application/json" },
  });
}

test("a service that requests a back-off gets no requests until its end", async ({ trial }) => {
  const [backedOff] = trial.plain;
  backedOff.fault.saysNotRun = true;
  backedOff.fault.restS = BACK_OFF_S;
  while (backedOff.countArrivals() === 0) {
    assert.is((await sendCall(trial)).status, 200);
  }
  const untilMs = performance.now() + BACK_OFF_S * 800;
  while (performance.now() < untilMs) {
    assert.is((await sendCall(trial)).status, 200);
  }
  assert.is(backedOff.countArrivals(), 1);
  backedOff.fault.saysNotRun = false;
  backedOff.fault.restS = undefined;
  await sleep(BACK_OFF_S * 300);
  while (backedOff.countArrivals() === 1) await sendCall(trial);
});

test("requests are rejected without delay, with the end of the back-off, if all services are backed off", async ({ trial }) => {
  for (const { fault } of trial.plain) {
    Object.assign(fault, { saysNotRun: true, restS: 3 });
  }
  const first = await sendCall(trial);
  assert.is(first.status, 503);
  const arrived = trial.plain.map((one) => one.countArrivals());
  assert.equal(arrived, [1, 1]);
  for (let at = 0; at < 5; at++) {
    const { status, headers } = await sendCall(trial);
    assert.is(status, 503);
    assert.is(headers["crowlever-outcome"], "not_run");
    assert.is(Number(headers["retry-after"]), 3);
  }
  assert.equal(trial.plain.map((one) => one.countArrivals()), arrived);
});

test.run();
