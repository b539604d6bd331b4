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
    say: (isClosed = false) =>
      queue.take({
        isClosed: () => isClosed,
        welcome: () => void answers.push("welcome"),
        redirect: (address) => void answers.push(`to ${address}`),
      }),
  };
}

/** Ms in which the queue has looked at what waits. */
const LOOK_MS = 120;

// Each gateway that was sent away asked again within 100 ms.
test("a hello waits until a leader is known, and is answered once", async () => {
  const { state, answers, say } = startQueue();
  say();
  say();
  await sleep(LOOK_MS);
  assert.equal(answers, []);
  state.leaderAddress = "b:1";
  await until("they are sent there", () => answers.length === 2);
  await sleep(LOOK_MS);
  assert.equal(answers, ["to b:1", "to b:1"]);
});

test("who waits is taken in by a process that comes to lead", async () => {
  const { state, answers, say } = startQueue();
  say();
  say(true);
  state.isLeader = true;
  await until("it is taken in", () => answers.length > 0);
  await sleep(LOOK_MS);
  assert.equal(answers, ["welcome"]);
});

test("a gateway is told when no leader comes to be known", async () => {
  const { state, answers, say } = startQueue();
  say();
  state.nowMs = 9_000;
  await sleep(LOOK_MS);
  assert.equal(answers, []);
  state.nowMs = 10_000;
  await until("it is told", () => answers.length > 0);
  assert.equal(answers, ["to "]);
});

test("many gateways are taken in over several turns of the event loop", async () => {
  const { state, answers, say } = startQueue();
  state.isLeader = true;
  for (let at = 0; at < 100; at++) say();
  const counts: number[] = [];
  while (answers.length < 100) {
    const before = answers.length;
    await new Promise((resolve) => setImmediate(resolve));
    counts.push(answers.length - before);
  }
  assert.ok(Math.max(...counts) <= 8, counts.join(" "));
});

test.run();
