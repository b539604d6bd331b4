import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import { createMetrics } from "../metrics/index.ts";
import { createHelloQueue } from "./create_hello_queue.ts";

function startQueue() {
  const state = { nowMs: 0, isLeader: false, leaderAddress: "" };
  const answers: string[] = [];
  const queue = createHelloQueue({
    isLeader: () => state.isLeader,
    confirmRead: () => Promise.resolve(),
    getLeaderAddress: () => state.leaderAddress,
    now: () => state.nowMs,
    log: () => {},
    metrics: createMetrics(),
  });
  return {
    state,
    answers,
    sendHello: (isClosed = false) =>
      queue.enqueue({
        isClosed: () => isClosed,
        welcome: () => void answers.push("welcome"),
        redirect: (address) => void answers.push(`to ${address}`),
      }),
  };
}

/** Time in ms within which the queue has checked waiting hellos at least once. */
const CHECK_MS = 120;

// Guards against a retry storm: gateways that were redirected without a leader's
// address retried within 100 ms each.
test("a hello waits until a leader is known, and is answered once", async () => {
  const { state, answers, sendHello } = startQueue();
  sendHello();
  sendHello();
  await sleep(CHECK_MS);
  assert.equal(answers, []);
  state.leaderAddress = "b:1";
  await until("both are redirected", () => answers.length === 2);
  await sleep(CHECK_MS);
  assert.equal(answers, ["to b:1", "to b:1"]);
});

test("a waiting gateway is welcomed when this process becomes the leader", async () => {
  const { state, answers, sendHello } = startQueue();
  sendHello();
  sendHello(true);
  state.isLeader = true;
  await until("it is welcomed", () => answers.length > 0);
  await sleep(CHECK_MS);
  assert.equal(answers, ["welcome"]);
});

test("a gateway is redirected without an address when no leader becomes known", async () => {
  const { state, answers, sendHello } = startQueue();
  sendHello();
  state.nowMs = 9_000;
  await sleep(CHECK_MS);
  assert.equal(answers, []);
  state.nowMs = 10_000;
  await until("it is redirected", () => answers.length > 0);
  assert.equal(answers, ["to "]);
});

test("many gateways are welcomed over several turns of the event loop", async () => {
  const { state, answers, sendHello } = startQueue();
  state.isLeader = true;
  for (let at = 0; at < 100; at++) sendHello();
  const counts: number[] = [];
  while (answers.length < 100) {
    const before = answers.length;
    await new Promise((resolve) => setImmediate(resolve));
    counts.push(answers.length - before);
  }
  assert.ok(Math.max(...counts) <= 8, counts.join(" "));
});

test.run();
